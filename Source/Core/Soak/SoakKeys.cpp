#include "Soak/SoakKeys.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace Pollenwind {

namespace {

    constexpr std::chrono::seconds commandTimeout { 3 };
    constexpr int commandRounds = 3;

} // namespace

SoakKeys::SoakKeys(const SoakOptions& options)
    : m_options(options)
{
}

Task<bool> SoakKeys::command(std::string key, std::string organisation, std::string state)
{
    const nlohmann::json body
        = { { "digest", toHex(sha256(key)) }, { "organisation", organisation }, { "state", state } };
    for (int round = 0; round < commandRounds; ++round) {
        for (const auto& router : m_options.routers) {
            HttpRequest request;
            request.method = "POST";
            request.path = "/admin/commands/key";
            request.headers.emplace_back("Authorization", "Bearer " + m_options.adminToken);
            request.body = body.dump();
            const auto response = co_await fetch(router.admin, std::move(request), commandTimeout);
            if (response && response->status == 200) {
                co_return true;
            }
        }
        co_await sleepFor(std::chrono::milliseconds(300));
    }
    co_return false;
}

Task<bool> SoakKeys::give(std::string organisation)
{
    const auto key = "soak-key-" + randomToken();
    const bool isGiven = co_await command(key, organisation, "valid");
    if (isGiven) {
        m_keys.push_back({ key, organisation, std::nullopt });
    }
    co_return isGiven;
}

Task<> SoakKeys::rotate(std::size_t index)
{
    if (m_keys[index].withdrawnAt || !co_await give(m_keys[index].organisation)) {
        co_return;
    }
    // The old key stays valid until the new one has propagated to all routers.
    co_await sleepFor(std::chrono::seconds(2));
    const auto old = m_keys[index];
    if (co_await command(old.key, old.organisation, "withdrawn")) {
        m_keys[index].withdrawnAt = std::chrono::steady_clock::now();
    }
}

} // namespace Pollenwind
