#pragma once

#include "Common/Ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Pollenwind {

/// Distribution of a time in logarithmic bins. Adding two gives the distribution of both samples, so evidence of
/// several routers can be pooled.
class TimeDistribution {
public:
    static constexpr std::size_t binCount = 48;

    void add(std::chrono::nanoseconds sample);
    void add(const TimeDistribution& other);

    std::uint32_t total() const;
    /// Rank of a bin among the samples: the part below it plus half of the part in it, from 0 to 1.
    double rankOf(std::size_t bin) const;

    const std::array<std::uint32_t, binCount>& bins() const { return m_bins; }
    void setBin(std::size_t bin, std::uint32_t n) { m_bins[bin] = n; }

private:
    std::array<std::uint32_t, binCount> m_bins {};
};

/// Outcomes of one version on one route.
struct RouteEvidence {
    std::uint32_t requests = 0;
    /// Errors, invalid responses and incomplete streams.
    std::uint32_t failures = 0;
    /// Time to first token divided by the prompt tokens that had to be computed, so that the new version's empty cache
    /// does not count against it.
    TimeDistribution firstTokenPerWork;
    TimeDistribution timeBetweenTokens;

    void add(const RouteEvidence& other);
};

/// Outcomes of the old and the new version of one move, by route.
struct MoveEvidence {
    std::map<std::string, RouteEvidence> oldVersion;
    std::map<std::string, RouteEvidence> newVersion;

    void add(const MoveEvidence& other);
    std::uint32_t newRequests() const;
};

} // namespace Pollenwind
