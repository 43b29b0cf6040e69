#include "Moves/Queries/VersionJudge.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace Pollenwind {

namespace {

    // A good version is taken back by one test with a chance of at most 1 in 500. With three measures and a handful of
    // routes that leaves room for the target of 95 good versions in 100.
    constexpr double alarmRatio = 500;

    // Failures that a good version may have even when the old one had none: an engine that crashes fails a few.
    constexpr double toleratedFailureRate = 0.02;

    // Mean rank that a good version may have among the old version's times; 0.5 is equal speed, and 0.56 corresponds to
    // about a twelfth slower at the usual spread.
    constexpr double toleratedRank = 0.56;
    constexpr std::uint32_t fewestOldSamples = 30;

    // Evidence from which on the share must not grow.
    constexpr double suspicionRatio = 4;

    constexpr int gridSteps = 32;

    double failureBound(const RouteEvidence* old)
    {
        if (!old) {
            return toleratedFailureRate;
        }
        // Half as many again as the old version had, with a prior of one failure in a hundred requests.
        const double estimate = (old->failures + 1.0) / (old->requests + 100.0);
        return std::clamp(1.5 * estimate, toleratedFailureRate, 0.9);
    }

    struct Finding {
        MoveReason reason = MoveReason::None;
        double evidence = 1;
        std::string text;
    };

    Finding testFailures(const RouteEvidence& fresh, const RouteEvidence* old)
    {
        const double bound = failureBound(old);
        Finding finding;
        finding.reason = MoveReason::Failures;
        finding.evidence = detail::failureEvidence(fresh.requests, fresh.failures, bound);
        std::array<char, 160> buf {};
        std::snprintf(
            buf.data(), buf.size(), "%u of %u failed, tolerated %.1f%%", fresh.failures, fresh.requests, 100 * bound);
        finding.text = buf.data();
        return finding;
    }

    Finding testTimes(MoveReason reason, const char* what, const TimeDistribution& fresh, const TimeDistribution* old)
    {
        if (!old || old->total() < fewestOldSamples) {
            return {};
        }
        Finding finding;
        finding.reason = reason;
        finding.evidence = detail::slownessEvidence(fresh, *old);
        std::array<char, 160> buf {};
        std::snprintf(buf.data(), buf.size(), "%u %s against %u of the old version", fresh.total(), what, old->total());
        finding.text = buf.data();
        return finding;
    }

    Finding strongestFinding(const RouteEvidence& fresh, const RouteEvidence* old)
    {
        std::array findings { testFailures(fresh, old),
            testTimes(MoveReason::SlowFirstToken, "first tokens", fresh.firstTokenPerWork,
                old ? &old->firstTokenPerWork : nullptr),
            testTimes(MoveReason::SlowTokens, "times between tokens", fresh.timeBetweenTokens,
                old ? &old->timeBetweenTokens : nullptr) };
        return *std::ranges::max_element(findings, {}, &Finding::evidence);
    }

} // namespace

namespace detail {

    double failureEvidence(std::uint32_t n, std::uint32_t failures, double bound)
    {
        const double k = failures;
        const double rest = n - failures;
        double sum = 0;
        for (int i = 0; i < gridSteps; ++i) {
            // Denser at low rates, since a version that fails rarely takes most requests to tell.
            const double x = (i + 0.5) / gridSteps;
            const double rate = bound + (1 - bound) * x * x;
            sum += std::exp(k * std::log(rate / bound) + rest * std::log((1 - rate) / (1 - bound)));
        }
        return sum / gridSteps;
    }

    double slownessEvidence(const TimeDistribution& fresh, const TimeDistribution& old)
    {
        std::array<double, gridSteps> logarithms {};
        for (std::size_t bin = 0; bin < TimeDistribution::binCount; ++bin) {
            const double n = fresh.bins()[bin];
            if (n == 0) {
                continue;
            }
            const double gain = old.rankOf(bin) - toleratedRank;
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

Judgement SequentialJudge::judge(const MoveEvidence& evidence) const
{
    Judgement judgement;
    judgement.text = std::to_string(evidence.newRequests()) + " requests of the new version";
    double strongest = suspicionRatio;
    for (const auto& [route, fresh] : evidence.newVersion) {
        const auto old = evidence.oldVersion.find(route);
        const auto finding = strongestFinding(fresh, old == evidence.oldVersion.end() ? nullptr : &old->second);
        if (finding.evidence < strongest) {
            continue;
        }
        strongest = finding.evidence;
        judgement.isSuspicious = true;
        judgement.fault = finding.evidence >= alarmRatio ? finding.reason : MoveReason::None;
        judgement.route = route;
        judgement.text = finding.text;
    }
    return judgement;
}

} // namespace Pollenwind
