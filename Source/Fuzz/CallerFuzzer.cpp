#include "Common/Invariant.h"
#include "Http/CallerCodec.h"

#include <cstddef>
#include <cstdint>

namespace {

using namespace Pollenwind;

void decodeAndEncode(std::string_view body, CallerCodec::CompletionForm form)
{
    const auto decoded = CallerCodec::decodeCompletion(body, form);
    if (!decoded) {
        checkInvariant(decoded.error().code == ErrorCode::Malformed, "a rejected body is reported as malformed");
        checkInvariant(decoded.error().runState == RunState::NotRun, "a rejected body is reported as not run");
        checkInvariant(decoded.error().message.size() < 200, "an error message does not repeat the body");
        CallerCodec::encodeError(decoded.error(), "r");
        return;
    }
    checkInvariant(!decoded->model.empty() && decoded->model.size() <= 64, "the model's name is bounded");
    checkInvariant(decoded->maxTokens >= 1 && decoded->maxTokens <= 1'000'000, "the token limit is bounded");
    checkInvariant(decoded->priority >= -100 && decoded->priority <= 100, "the priority is bounded");
    // Text from an upstream may end inside a UTF-8 character.
    const RequestId id("r");
    const TokenChunk chunk { .text = std::string(body) };
    CallerCodec::encodeTokenEvent(id, decoded->model, chunk, form);
    CallerCodec::encodeFullResponse(id, decoded->model, body.substr(body.size() / 2), {}, form);
}

} // namespace

/// Entry point that libFuzzer calls with each input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view body(reinterpret_cast<const char*>(data), size);
    decodeAndEncode(body, CallerCodec::CompletionForm::Chat);
    decodeAndEncode(body, CallerCodec::CompletionForm::Text);
    return 0;
}
