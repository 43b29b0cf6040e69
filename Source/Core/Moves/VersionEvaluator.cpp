#include "Moves/Queries/VersionEvaluator.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace Pollenwind {

namespace {

    // A single test rejects a healthy version with a probability of at most 1/500. With three tests on each of a
    // handful of routes this meets the target that 95 of 100 healthy versions pass.
    constexpr double rejectionRatio = 500;

    // Failure rate that a healthy version may have even when the old one had none: a crashing engine fails a few
    // requests.
    constexpr double toleratedFailureRate = 0.02;

    // Mean rank that a healthy version's times may have among the old version's; 0.5 means equal speed, and 0.56
    // corresponds to about 1/12 slower at the usual spread.
    constexpr double toleratedRank = 0.56;
    constexpr std::uint32_t minBaselineSamples = 30;

    // Evidence from which on the new version's share must not grow.
    constexpr double suspectRatio = 4;

    constexpr int gridSteps = 32;

    double failureBound(const RouteEvidence* baseline)
    {
        if (!baseline) {
            return toleratedFailureRate;
        }
        // 1.5 times the old version's rate, with a prior of one failure in 100 requests.
        const double estimate = (baseline->failures + 1.0) / (baseline->requests + 100.0);
        return std::clamp(1.5 * estimate, toleratedFailureRate, 0.9);
    }

    struct TestResult {
        MoveReason reason = MoveReason::None;
        double evidence = 1;
        std::string text;
    };

    TestResult testFailures(const RouteEvidence& candidate, const RouteEvidence* baseline)
    {
        const double bound = failureBound(baseline);
        TestResult testResult;
        testResult.reason = MoveReason::Failures;
        testResult.evidence = detail::failureEvidence(candidate.requests, candidate.failures, bound);
        std::array<char, 160> buf {};
        std::snprintf(buf.data(), buf.size(), "%u of %u failed, tolerated %.1f%%", candidate.failures,
            candidate.requests, 100 * bound);
        testResult.text = buf.data();
        return testResult;
    }

    TestResult testTimes(
        MoveReason reason, const char* what, const TimeDistribution& candidate, const TimeDistribution* baseline)
    {
        if (!baseline || baseline->total() < minBaselineSamples) {
            return {};
        }
        TestResult testResult;
        testResult.reason = reason;
        testResult.evidence = detail::slownessEvidence(candidate, *baseline);
        std::array<char, 160> buf {};
        std::snprintf(
            buf.data(), buf.size(), "%u %s against %u of the old version", candidate.total(), what, baseline->total());
        testResult.text = buf.data();
        return testResult;
    }

    TestResult strongestTest(const RouteEvidence& candidate, const RouteEvidence* baseline)
    {
        std::array testResults { testFailures(candidate, baseline),
            testTimes(MoveReason::SlowFirstToken, "first tokens", candidate.firstTokenPerWork,
                baseline ? &baseline->firstTokenPerWork : nullptr),
            testTimes(MoveReason::SlowTokens, "times between tokens", candidate.timeBetweenTokens,
                baseline ? &baseline->timeBetweenTokens : nullptr) };
        return *std::ranges::max_element(testResults, {}, &TestResult::evidence);
    }

} // namespace

namespace detail {

    double failureEvidence(std::uint32_t n, std::uint32_t failures, double bound)
    {
        const double k = failures;
        const double rest = n - failures;
        double sum = 0;
        for (int i = 0; i < gridSteps; ++i) {
            // The grid is denser at low rates, since a version that fails rarely takes the most requests to detect.
            const double x = (i + 0.5) / gridSteps;
            const double rate = bound + (1 - bound) * x * x;
            sum += std::exp(k * std::log(rate / bound) + rest * std::log((1 - rate) / (1 - bound)));
        }
        return sum / gridSteps;
    }

    double slownessEvidence(const TimeDistribution& candidate, const TimeDistribution& baseline)
    {
        std::array<double, gridSteps> logarithms {};
        for (std::size_t bin = 0; bin < TimeDistribution::binCount; ++bin) {
            const double n = candidate.bins()[bin];
            if (n == 0) {
                continue;
            }
            const double gain = baseline.rankOf(bin) - toleratedRank;
            for (int i = 0; i < gridSteps; ++i) {
                // A bet below 1/toleratedRank cannot lose more than the stake.
                const double bet = (i + 0.5) / gridSteps / toleratedRank;
                logarithms[static_cast<std::size_t>(i)] += n * std::log(1 + bet * gain);
            }
        }
        double sum = 0;
        for (const double it : logarithms) {
            sum += std::exp(it);
        }
        return sum / gridSteps;
    }

} // namespace detail

Evaluation SequentialEvaluator::evaluate(const MoveEvidence& evidence) const
{
    Evaluation evaluation;
    evaluation.text = std::to_string(evidence.newRequests()) + " requests of the new version";
    double strongest = suspectRatio;
    for (const auto& [route, candidate] : evidence.newVersion) {
        const auto baseline = evidence.oldVersion.find(route);
        const auto testResult
            = strongestTest(candidate, baseline == evidence.oldVersion.end() ? nullptr : &baseline->second);
        if (testResult.evidence < strongest) {
            continue;
        }
        strongest = testResult.evidence;
        evaluation.isSuspect = true;
        evaluation.fault = testResult.evidence >= rejectionRatio ? testResult.reason : MoveReason::None;
        evaluation.route = route;
        evaluation.text = testResult.text;
    }
    return evaluation;
}

} // namespace Pollenwind
