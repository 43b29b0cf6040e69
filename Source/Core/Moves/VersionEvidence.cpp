#include "Moves/VersionEvidence.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Pollenwind {

namespace {

    // Each bin is 1.3 times as wide as the one below, fine enough to detect a slowdown by half. The 48 bins cover 1 us
    // to 0.3 s; shorter and longer times go to the first and the last bin.
    constexpr double binRatio = 1.3;
    constexpr double firstBinNanoseconds = 1000;

} // namespace

void TimeDistribution::add(std::chrono::nanoseconds sample)
{
    const double scaled = std::max(1.0, static_cast<double>(sample.count()) / firstBinNanoseconds);
    const auto bin = static_cast<std::size_t>(std::log(scaled) / std::log(binRatio));
    ++m_bins[std::min(bin, binCount - 1)];
}

void TimeDistribution::add(const TimeDistribution& other)
{
    for (std::size_t i = 0; i < binCount; ++i) {
        m_bins[i] += other.m_bins[i];
    }
}

std::uint32_t TimeDistribution::total() const { return std::accumulate(m_bins.begin(), m_bins.end(), 0U); }

double TimeDistribution::rankOf(std::size_t bin) const
{
    double below = 0;
    for (std::size_t i = 0; i < bin; ++i) {
        below += m_bins[i];
    }
    return (below + 0.5 * m_bins[bin]) / total();
}

void RouteEvidence::add(const RouteEvidence& other)
{
    requests += other.requests;
    failures += other.failures;
    firstTokenPerWork.add(other.firstTokenPerWork);
    timeBetweenTokens.add(other.timeBetweenTokens);
}

void MoveEvidence::add(const MoveEvidence& other)
{
    for (const auto& [route, evidence] : other.oldVersion) {
        oldVersion[route].add(evidence);
    }
    for (const auto& [route, evidence] : other.newVersion) {
        newVersion[route].add(evidence);
    }
}

std::uint32_t MoveEvidence::newRequests() const
{
    std::uint32_t n = 0;
    for (const auto& [route, evidence] : newVersion) {
        n += evidence.requests;
    }
    return n;
}

} // namespace Pollenwind
