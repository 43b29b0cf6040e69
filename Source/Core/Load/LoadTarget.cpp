#include "Load/Commands/LoadTarget.h"

#include "Common/Digest.h"
#include "Upstream/UpstreamCodec.h"

#include <nlohmann/json.hpp>

namespace Pollenwind {

namespace {

    class RouterTarget final : public LoadTarget {
    public:
        RouterTarget(LoadTargetOptions options, std::uint32_t maxTokens)
            : m_options(std::move(options))
            , m_maxTokens(maxTokens)
        {
        }

        HttpRequest makeRequest(std::uint64_t, const std::string& prompt) const override
        {
            const nlohmann::json body = { { "model", m_options.model }, { "prompt", prompt },
                { "max_tokens", m_maxTokens }, { "stream", true } };
            HttpRequest request;
            request.method = "POST";
            request.path = "/v1/completions";
            request.headers.emplace_back("Content-Type", "application/json");
            request.headers.emplace_back("Authorization", "Bearer " + m_options.key);
            request.body = body.dump();
            return request;
        }

    private:
        LoadTargetOptions m_options;
        std::uint32_t m_maxTokens;
    };

    class EngineTarget final : public LoadTarget {
    public:
        EngineTarget(LoadTargetOptions options, std::uint32_t maxTokens)
            : m_options(std::move(options))
            , m_maxTokens(maxTokens)
        {
        }

        HttpRequest makeRequest(std::uint64_t number, const std::string& prompt) const override
        {
            GenerationCall call;
            call.request = RequestId("load-" + std::to_string(number));
            call.service = ServiceId(m_options.model);
            call.version = VersionId(m_options.version);
            call.organisation = OrganisationId("load");
            call.prompt = prompt;
            call.maxTokens = m_maxTokens;
            return UpstreamCodec::encodeGeneration(call);
        }

    private:
        LoadTargetOptions m_options;
        std::uint32_t m_maxTokens;
    };

} // namespace

std::unique_ptr<LoadTarget> makeLoadTarget(const LoadTargetOptions& options, std::uint32_t maxTokens)
{
    if (options.protocol == LoadProtocol::Engine) {
        return std::make_unique<EngineTarget>(options, maxTokens);
    }
    return std::make_unique<RouterTarget>(options, maxTokens);
}

} // namespace Pollenwind
