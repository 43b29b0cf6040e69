#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

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
    /// Adds the times of an answer that is not counted as a request.
    void addTimes(const AnswerOutcome& outcome);
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

/// Requests of one route that are alike, which are compared with each other only: a prompt that is mostly cached has
/// another time per computed token than one that is not. Requests under full load are kept apart, since most answers
/// that end just after it are the slow ones of the version that had the load.
struct EvidenceClass {
    std::string route;
    /// Size class of the request, see sizeClassOf().
    std::string size;
    /// True when the new version got most requests at the time at which the request was sent.
    bool isFullLoad = false;
};

/// @param computedTokens Prompt tokens that were not cached, or another measure of the size.
/// @return A number in decimal; each class is four times as large as the one below.
std::string sizeClassOf(std::uint32_t computedTokens);

/// Key of a class in MoveEvidence, for example "chat#2" or "chat#2+" under full load.
std::string encodeEvidenceClass(const EvidenceClass& evidenceClass);

/// @param key Key in MoveEvidence; a route without a class has an empty size.
EvidenceClass decodeEvidenceClass(std::string_view key);

/// Age at which a request counts as evidence, whether it is answered or not. Answers of both versions that count in one
/// slot of time were then sent in one slot too. Counted when they end, the answers after a change of the share would be
/// the slow ones of the version whose share fell.
constexpr std::chrono::milliseconds judgingAge { 500 };

/// A request that has not been answered completely.
struct OutstandingRequest {
    /// Key of its route or class in MoveEvidence.
    std::string evidenceKey;
    bool isNewVersion = false;
    /// Time since it was sent.
    std::chrono::nanoseconds age { 0 };
    /// Time to its first token, or its age while there is none.
    std::chrono::nanoseconds firstToken { 0 };
    /// Time between its tokens so far; 0 while there is only one.
    std::chrono::nanoseconds betweenTokens { 0 };
    std::uint32_t computedTokens = 0;
};

/// Adds the times of outstanding requests that have reached the judging age, as if they were answered now: a request
/// without a first token is slow once it is older than most answers of the old version. Without them a version that
/// does not answer would give no evidence.
/// @param report Evidence of finished requests; a copy that is made for a report.
void addOutstanding(MoveEvidence& report, std::span<const OutstandingRequest> outstanding);

/// Holds finished requests until they have reached the judging age.
class FinishedRequests {
public:
    /// @param sentAt Time at which the request was sent.
    /// @param evidenceKey Key of its route or class in MoveEvidence.
    void add(MonotonicTime sentAt, std::string evidenceKey, bool isNewVersion, const AnswerOutcome& outcome);

    /// Moves the requests that have reached the judging age to the evidence.
    void moveTo(MoveEvidence& evidence, MonotonicTime now);

private:
    struct Request {
        MonotonicTime sentAt { 0 };
        std::string evidenceKey;
        bool isNewVersion = false;
        AnswerOutcome outcome;
    };

    std::vector<Request> m_requests;
};

} // namespace Pollenwind
