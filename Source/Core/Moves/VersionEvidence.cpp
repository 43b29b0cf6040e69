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
    constexpr double lateQuantile = 0.95;
    constexpr std::uint32_t minLateSamples = 20;

    std::chrono::nanoseconds perWork(std::chrono::nanoseconds firstToken, std::uint32_t computedTokens)
    {
        return firstToken / (computedTokens + fixedWorkTokens);
    }

    bool isLate(std::chrono::nanoseconds time, const TimeDistribution& reference)
    {
        return reference.total() >= minLateSamples
            && TimeDistribution::binOf(time) > reference.binOfQuantile(lateQuantile);
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

std::string evidenceClass(std::string_view route, std::uint32_t computedTokens)
{
    // Up to 255 tokens, and each class four times as large as the one below, up to 16,384 and more.
    const auto size = std::bit_width(std::min(computedTokens / fixedWorkTokens, 64U));
    return std::string(route) + classSeparator + std::to_string((size + 1) / 2);
}

std::string_view routeOfClass(std::string_view key) { return key.substr(0, key.rfind(classSeparator)); }

void addLateRequests(
    MoveEvidence& report, const MoveEvidence& reference, std::span<const OutstandingRequest> outstanding)
{
    for (const auto& it : outstanding) {
        const auto baseline = reference.oldVersion.find(it.evidenceKey);
        if (baseline == reference.oldVersion.end()) {
            continue;
        }
        const auto firstToken = perWork(it.firstToken, it.computedTokens);
        const bool isFirstTokenLate = isLate(firstToken, baseline->second.firstTokenPerWork);
        const bool isTokenLate
            = it.betweenTokens.count() > 0 && isLate(it.betweenTokens, baseline->second.timeBetweenTokens);
        if (!isFirstTokenLate && !isTokenLate) {
            continue;
        }
        auto& evidence = (it.isNewVersion ? report.newVersion : report.oldVersion)[it.evidenceKey];
        evidence.add(AnswerOutcome {
            true, it.firstToken, isTokenLate ? it.betweenTokens : std::chrono::nanoseconds(0), it.computedTokens });
    }
}

} // namespace Pollenwind
