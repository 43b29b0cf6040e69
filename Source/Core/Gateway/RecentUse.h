#pragma once

#include "Common/Clock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// Tokens that an organisation took in each of the last seconds.
class RecentUse {
public:
    /// Seconds that are remembered: the usual window of the quota, `quota_window_s`.
    static constexpr std::int64_t rememberedSeconds = 8;

    void add(MonotonicTime now, double tokens)
    {
        const auto second = secondOf(now);
        for (m_newest = std::max(m_newest, second - rememberedSeconds - 1); m_newest < second;) {
            slotOf(++m_newest) = 0;
        }
        slotOf(second) += tokens;
    }

    /// Most tokens in one of the last full seconds and the present one.
    double mostInOneSecond(MonotonicTime now) const
    {
        double most = 0;
        for (auto second = std::max(m_newest, secondOf(now)) - rememberedSeconds; second <= m_newest; ++second) {
            most = std::max(most, m_tokens[indexOf(second)]);
        }
        return most;
    }

    /// Tokens of the last full seconds and the present one.
    double sum(MonotonicTime now) const
    {
        double sum = 0;
        for (auto second = std::max(m_newest, secondOf(now)) - rememberedSeconds; second <= m_newest; ++second) {
            sum += m_tokens[indexOf(second)];
        }
        return sum;
    }

    /// Whether tokens were taken in the present second or the one before.
    bool isInUse(MonotonicTime now) const { return m_newest >= secondOf(now) - 1; }

private:
    static constexpr std::int64_t slots = rememberedSeconds + 1;

    static std::int64_t secondOf(MonotonicTime time) { return time / std::chrono::seconds(1); }
    static std::size_t indexOf(std::int64_t second)
    {
        return static_cast<std::size_t>((second % slots + slots) % slots);
    }
    double& slotOf(std::int64_t second) { return m_tokens[indexOf(second)]; }

    std::array<double, static_cast<std::size_t>(slots)> m_tokens {};
    /// Latest second with tokens.
    std::int64_t m_newest = -slots;
};

} // namespace Pollenwind
