#include "Moves/VersionEvidence.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <numeric>

namespace Pollenwind {

namespace {

    // Each bin is 1.3 times as wide as the one below, fine enough to detect a slowdown by half. The 68 bins cover 1 us
    // to 43 s; shorter and longer times go to the first and the last bin.
    constexpr double binRatio = 1.3;
    constexpr double firstBinNanoseconds = 1000;

    // Fixed cost of a first token, expressed in prompt tokens, so that short prompts do not look slow.
    constexpr std::uint32_t fixedWorkTokens = 256;

    constexpr char classSeparator = '#';
    constexpr char fullLoadMark = '+';

    std::chrono::nanoseconds perWork(std::chrono::nanoseconds firstToken, std::uint32_t computedTokens)
    {
        return firstToken / (computedTokens + fixedWorkTokens);
    }

} // namespace

std::size_t TimeDistribution::binOf(std::chrono::nanoseconds sample)
{
    const double scaled = std::max(1.0, static_cast<double>(sample.count()) / firstBinNanoseconds);
    return std::min(static_cast<std::size_t>(std::log(scaled) / std::log(binRatio)), binCount - 1);
}

void TimeDistribution::add(std::chrono::nanoseconds sample) { ++m_bins[binOf(sample)]; }

void TimeDistribution::add(const TimeDistribution& other)
{
    for (std::size_t i = 0; i < binCount; ++i) {
        m_bins[i] += other.m_bins[i];
    }
}

std::uint32_t TimeDistribution::total() const { return countFrom(0); }

std::uint32_t TimeDistribution::countFrom(std::size_t bin) const
{
    std::uint32_t n = 0;
    for (std::size_t i = bin; i < binCount; ++i) {
        n += m_bins[i];
    }
    return n;
}

double TimeDistribution::rankOf(std::size_t bin) const
{
    double below = 0;
    for (std::size_t i = 0; i < bin; ++i) {
        below += m_bins[i];
    }
    return (below + 0.5 * m_bins[bin]) / total();
}

std::size_t TimeDistribution::binOfQuantile(double quantile) const
{
    const double wanted = quantile * total();
    double below = 0;
    for (std::size_t i = 0; i < binCount; ++i) {
        below += m_bins[i];
        if (below >= wanted) {
            return i;
        }
    }
    return binCount - 1;
}

void RouteEvidence::add(const RouteEvidence& other)
{
    requests += other.requests;
    failures += other.failures;
    firstTokenPerWork.add(other.firstTokenPerWork);
    timeBetweenTokens.add(other.timeBetweenTokens);
}

void RouteEvidence::add(const AnswerOutcome& outcome)
{
    ++requests;
    if (!outcome.isComplete) {
        ++failures;
        return;
    }
    addTimes(outcome);
}

void RouteEvidence::addTimes(const AnswerOutcome& outcome)
{
    firstTokenPerWork.add(perWork(outcome.firstToken, outcome.computedTokens));
    if (outcome.betweenTokens.count() > 0) {
        timeBetweenTokens.add(outcome.betweenTokens);
    }
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

std::uint32_t MoveEvidence::requests() const
{
    return std::accumulate(oldVersion.begin(), oldVersion.end(), newRequests(),
        [](std::uint32_t n, const auto& it) { return n + it.second.requests; });
}

std::string sizeClassOf(std::uint32_t computedTokens)
{
    // The smallest class holds up to 255 tokens, the largest 16,384 and more.
    const auto width = std::bit_width(std::min(computedTokens / fixedWorkTokens, 64U));
    return std::to_string((width + 1) / 2);
}

std::string encodeEvidenceClass(const EvidenceClass& evidenceClass)
{
    std::string key = evidenceClass.route + classSeparator + evidenceClass.size;
    if (evidenceClass.isFullLoad) {
        key += fullLoadMark;
    }
    return key;
}

EvidenceClass decodeEvidenceClass(std::string_view key)
{
    const auto end = key.rfind(classSeparator);
    if (end == std::string_view::npos) {
        return { std::string(key), {}, false };
    }
    auto size = key.substr(end + 1);
    const bool isFullLoad = size.ends_with(fullLoadMark);
    if (isFullLoad) {
        size.remove_suffix(1);
    }
    return { std::string(key.substr(0, end)), std::string(size), isFullLoad };
}

namespace {

    /// Leaves out the time between tokens where none could be seen at the judging age: known only later, it would count
    /// beside requests of another time.
    AnswerOutcome atJudgingAge(AnswerOutcome outcome)
    {
        if (outcome.firstToken >= judgingAge) {
            outcome.betweenTokens = std::chrono::nanoseconds(0);
        }
        return outcome;
    }

} // namespace

void addOutstanding(MoveEvidence& report, std::span<const OutstandingRequest> outstanding)
{
    for (const auto& it : outstanding) {
        if (it.age >= judgingAge) {
            auto& evidence = (it.isNewVersion ? report.newVersion : report.oldVersion)[it.evidenceKey];
            evidence.addTimes(atJudgingAge({ true, it.firstToken, it.betweenTokens, it.computedTokens }));
        }
    }
}

void FinishedRequests::add(
    MonotonicTime sentAt, std::string evidenceKey, bool isNewVersion, const AnswerOutcome& outcome)
{
    m_requests.push_back({ sentAt, std::move(evidenceKey), isNewVersion, outcome });
}

void FinishedRequests::moveTo(MoveEvidence& evidence, MonotonicTime now)
{
    std::erase_if(m_requests, [&](const Request& it) {
        if (now - it.sentAt < judgingAge) {
            return false;
        }
        (it.isNewVersion ? evidence.newVersion : evidence.oldVersion)[it.evidenceKey].add(atJudgingAge(it.outcome));
        return true;
    });
}

} // namespace Pollenwind
