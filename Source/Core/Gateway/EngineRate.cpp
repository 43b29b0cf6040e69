#include "Gateway/EngineRate.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // Time in which the weight of an observation falls to a third. A peak builds up within one to two seconds.
    constexpr std::chrono::seconds forgettingTime { 2 };

    // Weight of the observations from which the line is used.
    constexpr double leastWeight = 4;

    // A prompt with more tokens than this multiple of the usual number counts with this multiple: a single absurd count
    // must not decide the line.
    constexpr double largestMultiple = 8;

    // Spread of the tokens, relative to their mean, below which the slope cannot be told from the observations. The
    // time is then taken as proportional to the tokens.
    constexpr double leastSpread = 0.2;

    // No engine computes faster than this, so that an impossible slope does not admit everything.
    constexpr double leastSecondsPerToken = 1e-7;

} // namespace

void EngineRate::recordFirstOutput(
    MonotonicTime now, double tokensAhead, double ownTokens, std::chrono::nanoseconds time)
{
    if (!std::isfinite(tokensAhead) || !std::isfinite(ownTokens) || tokensAhead < 0 || ownTokens < 0
        || time.count() <= 0) {
        return;
    }
    const double kept
        = m_weight > 0 ? std::exp(-std::chrono::duration<double>(now - m_observedAt) / forgettingTime) : 0;
    for (auto* sum : { &m_weight, &m_sumX, &m_sumY, &m_sumXX, &m_sumXY, &m_sumOwn }) {
        *sum *= kept;
    }
    if (m_weight >= leastWeight) {
        ownTokens = std::min(ownTokens, largestMultiple * m_sumOwn / m_weight);
        tokensAhead = std::min(tokensAhead, largestMultiple * m_sumX / m_weight);
    }
    const double x = tokensAhead + ownTokens;
    const double y = std::chrono::duration<double>(time).count();
    m_weight += 1;
    m_sumX += x;
    m_sumY += y;
    m_sumXX += x * x;
    m_sumXY += x * y;
    m_sumOwn += ownTokens;
    m_observedAt = now;
}

std::optional<EngineRate::Line> EngineRate::line(MonotonicTime now) const
{
    if (m_weight < leastWeight || now - m_observedAt > longestAge || m_sumX <= 0) {
        return std::nullopt;
    }
    const double meanX = m_sumX / m_weight;
    const double meanY = m_sumY / m_weight;
    const double variance = m_sumXX / m_weight - meanX * meanX;
    double slope = meanY / meanX;
    if (variance > std::pow(leastSpread * meanX, 2)) {
        slope = (m_sumXY / m_weight - meanX * meanY) / variance;
    }
    // Not steeper than through the origin, since a prompt without tokens takes no negative time.
    slope = std::clamp(slope, leastSecondsPerToken, std::max(leastSecondsPerToken, meanY / meanX));
    return Line { std::max(0.0, meanY - slope * meanX), slope };
}

std::optional<std::chrono::nanoseconds> EngineRate::timeToFirstOutput(
    MonotonicTime now, double tokensAhead, double ownTokens) const
{
    const auto fit = line(now);
    if (!fit) {
        return std::nullopt;
    }
    const double tokens = std::max(0.0, tokensAhead) + *countedTokens(now, ownTokens);
    // A time of more than a minute is as bad as one of a minute, and its nanoseconds stay countable.
    constexpr double longestSeconds = 60;
    const double seconds = std::min(longestSeconds, fit->base + tokens * fit->secondsPerToken);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

std::optional<double> EngineRate::countedTokens(MonotonicTime now, double ownTokens) const
{
    if (!line(now)) {
        return std::nullopt;
    }
    const double usual = m_sumOwn / m_weight;
    return std::clamp(ownTokens, usual, largestMultiple * usual);
}

std::optional<double> EngineRate::tokensPerSecond(MonotonicTime now) const
{
    const auto fit = line(now);
    return fit ? std::optional(1 / fit->secondsPerToken) : std::nullopt;
}

} // namespace Pollenwind
