#include "Transport/IdleLimits.h"

#include <algorithm>

namespace Pollenwind::detail {

namespace {

    // Time for which a longer idle limit applies after it was replaced. Clients reuse connections up to the limit that
    // they know, and a configuration is in force everywhere within this time.
    constexpr std::chrono::seconds replacedLimitTime { 10 };

} // namespace

std::chrono::seconds promisedIdleTime(const HttpServerLimits& limits)
{
    const auto longest = std::min(limits.idleTimeout, limits.maxPromisedIdleTime) - promisedIdleMargin;
    return std::max(std::chrono::seconds(0), std::chrono::floor<std::chrono::seconds>(longest));
}

void IdleLimits::replace(std::chrono::milliseconds limit)
{
    m_replaced.push_back({ limit, std::chrono::steady_clock::now() });
}

std::chrono::milliseconds IdleLimits::longest(std::chrono::milliseconds present)
{
    const auto oldest = std::chrono::steady_clock::now() - replacedLimitTime;
    std::erase_if(m_replaced, [&](const Replaced& it) { return it.replacedAt < oldest; });
    auto longest = present;
    for (const auto& it : m_replaced) {
        longest = std::max(longest, it.limit);
    }
    return longest;
}

} // namespace Pollenwind::detail
