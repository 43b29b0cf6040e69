#pragma once

#include "Common/Ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Distribution of a time in logarithmic bins. Adding two gives the distribution of both samples, so evidence of
/// several routers can be pooled.
class TimeDistribution {
public:
    /// Records with fewer bins decode, since bins are recorded by their index and the lower ones keep their limits.
    static constexpr std::size_t binCount = 68;

    void add(std::chrono::nanoseconds sample);
    void add(const TimeDistribution& other);

    std::uint32_t total() const;
    /// Number of samples in a bin and those above it.
    std::uint32_t countFrom(std::size_t bin) const;
    /// Rank of a bin among the samples: the part below it plus half of the part in it, from 0 to 1.
    double rankOf(std::size_t bin) const;
    /// @param quantile From 0 to 1.
    /// @return The bin that holds the quantile; the first bin when there is no sample.
    std::size_t binOfQuantile(double quantile) const;
    /// Bin that a sample belongs to.
    static std::size_t binOf(std::chrono::nanoseconds sample);

    const std::array<std::uint32_t, binCount>& bins() const { return m_bins; }
    void setBin(std::size_t bin, std::uint32_t n) { m_bins[bin] = n; }

private:
    std::array<std::uint32_t, binCount> m_bins {};
};

/// One answer of a version.
struct AnswerOutcome {
    bool isComplete = false;
    std::chrono::nanoseconds firstToken { 0 };
    /// 0 for an answer of one piece.
    std::chrono::nanoseconds betweenTokens { 0 };
    /// Prompt tokens that were not cached.
    std::uint32_t computedTokens = 0;
};

/// Outcomes of one version on one route, or on one class of requests of a route, see evidenceClass().
struct RouteEvidence {
    std::uint32_t requests = 0;
    /// Errors, invalid responses and incomplete streams.
    std::uint32_t failures = 0;
    /// Time to first token divided by the prompt tokens that had to be computed, so that the new version's empty cache
    /// does not count against it.
    TimeDistribution firstTokenPerWork;
    TimeDistribution timeBetweenTokens;

    void add(const RouteEvidence& other);
    void add(const AnswerOutcome& outcome);
};

/// Outcomes of the old and the new version of one move, by route or class.
struct MoveEvidence {
    std::map<std::string, RouteEvidence> oldVersion;
    std::map<std::string, RouteEvidence> newVersion;

    void add(const MoveEvidence& other);
    std::uint32_t newRequests() const;
    /// Requests of both versions.
    std::uint32_t requests() const;
};

/// Key of the requests of one route that are alike in size. The times of a class are compared with each other only,
/// since a prompt that is mostly cached has another time per computed token than one that is not.
/// @param route Name of the route.
/// @param computedTokens Prompt tokens that were not cached, or another measure of the size.
/// @return The route and its size class, for example "chat#2".
std::string evidenceClass(std::string_view route, std::uint32_t computedTokens);

/// Route of a key of MoveEvidence, which is a route or a class of it.
std::string_view routeOfClass(std::string_view key);

/// A request that has not been answered completely.
struct OutstandingRequest {
    /// Key of its route or class in MoveEvidence.
    std::string evidenceKey;
    bool isNewVersion = false;
    /// Time to its first token, or the time since it was sent while there is none.
    std::chrono::nanoseconds firstToken { 0 };
    /// Longest time between its tokens so far; 0 while there is only one.
    std::chrono::nanoseconds betweenTokens { 0 };
    std::uint32_t computedTokens = 0;
};

/// Adds the outstanding requests that are already slower than the old version's 95th percentile, as if they were
/// answered now. Without them a version that does not answer would give no evidence.
/// @param report Evidence of complete requests; a copy that is made for a report.
/// @param reference Evidence with the old version's times.
void addLateRequests(
    MoveEvidence& report, const MoveEvidence& reference, std::span<const OutstandingRequest> outstanding);

} // namespace Pollenwind
