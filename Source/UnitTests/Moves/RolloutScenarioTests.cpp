#include "MoveBench/RolloutScenario.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace Pollenwind;

namespace {

using std::chrono::seconds;

// The sites' services, and how long the users let a roll-out take.
constexpr std::array rates { 47.0, 85.0, 370.0 };
constexpr std::array durations { seconds(15), seconds(30) };

// Bounds of the users: 5 s after the 50th bad answer, and 99 of 100 good versions complete.
constexpr seconds reactionBound { 5 };
constexpr double completedGood = 0.99;

/// Seeds of each form at each size. POLLENWIND_ROLLOUT_SEEDS overrides it and prints the table of docs/measurements.md;
/// POLLENWIND_ROLLOUT_TRACE also prints the seeds with a wrong verdict.
std::uint64_t seedCount(RolloutForm form)
{
    const char* text = std::getenv("POLLENWIND_ROLLOUT_SEEDS");
    if (text) {
        return std::strtoull(text, nullptr, 10);
    }
    // One good version in 108 may be rejected.
    return isGood(form) ? 9 : 4;
}

struct Summary {
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::uint64_t exceeded = 0;
    std::uint64_t lateReactions = 0;
    double largestUse = 0;
    std::vector<double> verdictSeconds;
    std::vector<std::uint64_t> badAnswers;
    std::vector<double> uses;

    void add(const RolloutResult& result)
    {
        ++runs;
        completed += result.isComplete ? 1 : 0;
        exceeded += result.usedAllowance > 1 ? 1 : 0;
        lateReactions += result.reaction > reactionBound ? 1 : 0;
        largestUse = std::max(largestUse, result.usedAllowance);
        uses.push_back(result.usedAllowance);
        if (!result.isComplete) {
            verdictSeconds.push_back(std::chrono::duration<double>(result.verdictAfter).count());
            badAnswers.push_back(result.badAnswers);
        }
    }
};

template <typename T> T quantile(std::vector<T> values, double part)
{
    if (values.empty()) {
        return {};
    }
    std::ranges::sort(values);
    return values[std::min(values.size() - 1, static_cast<std::size_t>(part * static_cast<double>(values.size())))];
}

Summary simulate(RolloutForm form, RolloutTraffic traffic, double rate, seconds duration)
{
    Summary summary;
    for (std::uint64_t seed = 1; seed <= seedCount(form); ++seed) {
        const auto result = simulateRollout({ form, traffic, rate, duration, seed });
        summary.add(result);
        if (std::getenv("POLLENWIND_ROLLOUT_TRACE") && result.isComplete != isGood(form)) {
            std::fprintf(stderr, "%s, %.0f/s, %ld s, seed %zu: after %.2f s, %.2g, %s\n",
                std::string(nameOf(form)).c_str(), rate, static_cast<long>(duration.count()), seed,
                std::chrono::duration<double>(result.verdictAfter).count(), result.likelihoodRatio,
                result.evidence.c_str());
        }
    }
    if (std::getenv("POLLENWIND_ROLLOUT_SEEDS")) {
        std::printf("| %s, %s | %.0f, %ld | %zu | %zu | %.2f, %.2f | %.1f, %.1f | %zu, %zu | %zu |\n",
            std::string(nameOf(form)).c_str(), std::string(nameOf(traffic)).c_str(), rate,
            static_cast<long>(duration.count()), summary.runs - summary.completed, summary.completed,
            quantile(summary.uses, 0.5), summary.largestUse, quantile(summary.verdictSeconds, 0.5),
            quantile(summary.verdictSeconds, 0.99), quantile(summary.badAnswers, 0.5),
            quantile(summary.badAnswers, 0.99), summary.lateReactions);
        std::fflush(stdout);
    }
    return summary;
}

/// All sizes of one form.
void checkForm(RolloutForm form)
{
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    for (const auto& traffic : EnumTable<RolloutTraffic>::rows) {
        for (const double rate : rates) {
            for (const auto duration : durations) {
                const auto summary = simulate(form, traffic.value, rate, duration);
                runs += summary.runs;
                completed += summary.completed;
                if (!isGood(form)) {
                    cr_expect_eq(summary.exceeded, 0, "%.0f/s: %.2f of the allowance", rate, summary.largestUse);
                    cr_expect_eq(summary.lateReactions, 0, "%.0f/s: %zu too late", rate, summary.lateReactions);
                }
            }
        }
    }
    if (isGood(form)) {
        cr_expect_geq(
            static_cast<double>(completed), completedGood * static_cast<double>(runs), "%zu of %zu", completed, runs);
    }
}

} // namespace

// Guards against rejecting a version that is as good as the old one.
Test(RolloutScenario, completesAGoodVersion) { checkForm(RolloutForm::Good); }

// Guards against rejecting a good version because all runners are overloaded.
Test(RolloutScenario, completesAGoodVersionWhileTheServiceIsOverloaded) { checkForm(RolloutForm::GoodWhileOverloaded); }

// Guards against blaming the new version for a fault that both versions suffer from.
Test(RolloutScenario, completesAGoodVersionBesideAnotherFault) { checkForm(RolloutForm::GoodBesideFault); }

// Guards against completing a version that answers several times slower.
Test(RolloutScenario, rollsBackASlowVersion) { checkForm(RolloutForm::SlowAlways); }

// Guards against good answers that outvote the slow ones among them.
Test(RolloutScenario, rollsBackAVersionWithSlowAnswers) { checkForm(RolloutForm::SlowHalf); }

// Guards against completing a version that fails.
Test(RolloutScenario, rollsBackAVersionThatFailsHalfOfTheTime) { checkForm(RolloutForm::FailsHalf); }

// Guards against completing a version that fails now and then.
Test(RolloutScenario, rollsBackAVersionThatFailsAFifthOfTheTime) { checkForm(RolloutForm::FailsFifth); }

// Guards against a fault on one route that the answers of the others hide.
Test(RolloutScenario, rollsBackAVersionThatIsBadOnOneRoute) { checkForm(RolloutForm::BadOnOneRoute); }

// Guards against old good evidence that outvotes recent bad evidence.
Test(RolloutScenario, rollsBackAVersionThatTurnsBad) { checkForm(RolloutForm::BadLater); }

// Guards against completing a version that was never tried with the whole traffic.
Test(RolloutScenario, rollsBackAVersionThatIsBadUnderLoad) { checkForm(RolloutForm::BadUnderLoad); }
