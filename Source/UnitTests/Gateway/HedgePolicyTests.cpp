#include "Gateway/HedgePolicy.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <random>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const ServiceId app("app");

HedgeInputs soundInputs() { return { app, true, false, true, true, true }; }

/// Load that is replayed in virtual time against runners with queues of their own.
struct LoadReplay {
    double requestsPerSecond = 150;
    /// Time that a request takes at a runner without others.
    std::function<std::chrono::milliseconds(std::mt19937&, std::chrono::milliseconds)> serviceTime;
    double share = 0;
    std::chrono::milliseconds length { 40'000 };
};

struct ReplayResult {
    std::chrono::milliseconds p50 { 0 };
    std::chrono::milliseconds p99 { 0 };
    /// Share of the requests that were copied.
    double copied = 0;
};

/// Replays a load in steps of a millisecond. Runners have six slots; requests go to the one with the fewest.
ReplayResult replay(const LoadReplay& load)
{
    constexpr unsigned slots = 6;
    constexpr std::chrono::nanoseconds objective = 150ms;
    struct Job {
        std::size_t request;
        std::chrono::milliseconds left;
    };
    struct Request {
        std::chrono::milliseconds sentAt;
        std::array<std::size_t, 2> runners;
        bool isCopied = false;
        bool isCheckedForCopy = false;
        bool isDone = false;
    };
    std::mt19937 random(7);
    ManualClock clock;
    HedgePolicy policy(clock, load.share);
    std::array<std::deque<Job>, 4> runners;
    std::vector<Request> requests;
    std::vector<std::chrono::milliseconds> times;
    std::size_t oldest = 0;
    std::size_t copies = 0;
    const auto leastBusy = [&](std::optional<std::size_t> except) {
        std::size_t best = except == 0U ? 1 : 0;
        for (std::size_t n = 0; n < runners.size(); ++n) {
            best = n != except && runners[n].size() < runners[best].size() ? n : best;
        }
        return best;
    };
    for (std::chrono::milliseconds now { 0 }; now < load.length; now += 1ms, clock.advance(1ms)) {
        for (auto n = std::poisson_distribution<>(load.requestsPerSecond / 1000)(random); n > 0; --n) {
            const auto runner = leastBusy({});
            runners[runner].push_back({ requests.size(), load.serviceTime(random, now) });
            requests.push_back({ now, { runner, runner } });
            policy.recordRequest(app);
        }
        for (auto& runner : runners) {
            for (std::size_t n = 0; n < std::min<std::size_t>(slots, runner.size()); ++n) {
                runner[n].left -= 1ms;
                auto& request = requests[runner[n].request];
                if (runner[n].left.count() <= 0 && !std::exchange(request.isDone, true)) {
                    times.push_back(now - request.sentAt);
                    policy.recordBegin("route", now - request.sentAt);
                }
            }
        }
        for (auto& runner : runners) {
            std::erase_if(runner, [&](const Job& it) { return requests[it.request].isDone; });
        }
        while (oldest < requests.size() && requests[oldest].isDone) {
            ++oldest;
        }
        const auto delay = policy.delayFor("route", objective);
        for (auto n = oldest; delay && n < requests.size() && now - requests[n].sentAt >= *delay; ++n) {
            auto& request = requests[n];
            if (request.isDone || std::exchange(request.isCheckedForCopy, true)) {
                continue;
            }
            const auto runner = leastBusy(request.runners[0]);
            auto inputs = soundInputs();
            inputs.hasFreeRunner = static_cast<double>(runners[runner].size()) <= HedgePolicy::maxRunnerLoad * slots;
            if (policy.decide(inputs) == HedgeDecision::Send && policy.tryTake(app)) {
                runners[runner].push_back({ n, load.serviceTime(random, now) });
                ++copies;
            }
        }
    }
    std::ranges::sort(times);
    cr_assert_gt(times.size(), 1000);
    return { times[times.size() / 2], times[times.size() * 99 / 100],
        static_cast<double>(copies) / static_cast<double>(requests.size()) };
}

/// Most requests take 20 to 40 ms, some of them 900 ms.
std::chrono::milliseconds fewSlow(std::mt19937& random, std::chrono::milliseconds)
{
    return std::bernoulli_distribution(0.02)(random) ? 900ms
                                                     : std::chrono::milliseconds(20 + static_cast<int>(random() % 21));
}

} // namespace

// Load: two of a hundred answers are much slower than the others. Copies must shorten them, within their share.
Test(HedgePolicy, shortensAFewSlowAnswers)
{
    const auto without = replay({ .serviceTime = fewSlow });
    const auto with = replay({ .serviceTime = fewSlow, .share = 0.05 });
    cr_assert_geq(without.p99.count(), 890);
    cr_assert_leq(with.p99.count(), 150, "the slowest hundredth takes %ld ms or more", with.p99.count());
    cr_assert_leq(with.copied, 0.055, "copied: %f", with.copied);
    cr_assert_gt(with.copied, 0.01);
}

// Load: all runners are four times slower from the fifteenth second on. Copies help nobody then, and must not add more
// load than their share.
Test(HedgePolicy, addsLittleLoadWhenAllRunnersAreSlow)
{
    const auto slow = [](std::mt19937& random, std::chrono::milliseconds now) {
        return std::chrono::milliseconds((20 + static_cast<int>(random() % 21)) * (now > 15s ? 4 : 1));
    };
    const auto without = replay({ .serviceTime = slow });
    const auto with = replay({ .serviceTime = slow, .share = 0.1 });
    cr_assert_leq(with.copied, 0.1, "copied: %f", with.copied);
    cr_assert_leq(with.p50.count(), without.p50.count() * 11 / 10);
    cr_assert_leq(with.p99.count(), without.p99.count() * 11 / 10);
}

// Load: a third more requests than the runners can take. Each copy would displace a request.
Test(HedgePolicy, sendsNoCopiesUnderOverload)
{
    const auto steady = [](std::mt19937& random, std::chrono::milliseconds) {
        return std::chrono::milliseconds(20 + static_cast<int>(random() % 21));
    };
    const auto with = replay({ .requestsPerSecond = 1067, .serviceTime = steady, .share = 0.2, .length = 12'000ms });
    cr_assert_leq(with.copied, 0.001, "copied: %f", with.copied);
}

// Guards against a setting that is no share, or one that would multiply the load.
Test(HedgePolicy, limitsAnAbsurdShare)
{
    ManualClock clock;
    for (const auto share :
        { 0.0, -1.0, -0.0, std::numeric_limits<double>::quiet_NaN(), -std::numeric_limits<double>::infinity() }) {
        HedgePolicy policy(clock, share);
        cr_assert(!policy.isOn());
        for (unsigned n = 0; n < 1000; ++n) {
            policy.recordRequest(app);
            policy.recordBegin("route", 1ms);
        }
        cr_assert(!policy.delayFor("route", 100ms));
        cr_assert(policy.decide(soundInputs()) == HedgeDecision::Share);
        cr_assert(!policy.tryTake(app));
    }
    for (const auto share : { 0.3, 1.0, 1e300, std::numeric_limits<double>::infinity() }) {
        const auto with = replay({ .serviceTime = fewSlow, .share = share });
        cr_assert_leq(with.copied, HedgePolicy::maxShare + 0.01, "share %f: copied %f", share, with.copied);
    }
}

// Guards against a delay from too few or too old answers, and below half of the objective.
Test(HedgePolicy, learnsTheDelayFromEnoughRecentAnswers)
{
    ManualClock clock;
    HedgePolicy policy(clock, 0.1);
    cr_assert(!policy.delayFor("route", 100ms));
    for (unsigned n = 0; n < 49; ++n) {
        policy.recordBegin("route", 400ms);
        clock.advance(100ms);
    }
    cr_assert(!policy.delayFor("route", 100ms), "a delay from 49 answers");
    policy.recordBegin("route", 400ms);
    clock.advance(100ms);
    cr_assert(policy.delayFor("route", 100ms) == std::chrono::nanoseconds(400ms));
    cr_assert(policy.delayFor("route", 1000ms) == std::chrono::nanoseconds(500ms), "half of the objective");
    cr_assert(!policy.delayFor("other", 100ms));
    clock.advance(6s);
    cr_assert(!policy.delayFor("route", 100ms), "a delay from answers that are too old");
}

// Guards against a quantile that one answer in twenty does not reach, and one that forgets nothing.
Test(HedgePolicy, takesTheQuantileOfTheLatestAnswers)
{
    ManualClock clock;
    HedgePolicy policy(clock, 0.1);
    for (const auto unit : { 1ms, 3ms }) {
        for (int n = 0; n < 600; ++n) {
            policy.recordBegin("route", unit * (n % 100 + 1));
        }
        clock.advance(200ms);
        const auto delay = policy.delayFor("route", 1ms);
        cr_assert(delay && *delay >= unit * 93 && *delay <= unit * 97);
    }
}

// Guards against a copy for which one of the limits is reached, whatever the others say.
Test(HedgePolicy, namesTheReasonAgainstACopy)
{
    ManualClock clock;
    HedgePolicy policy(clock, 0.2);
    cr_assert(policy.decide(soundInputs()) == HedgeDecision::Share);
    for (unsigned n = 0; n < 1000; ++n) {
        policy.recordRequest(app);
    }
    cr_assert(policy.decide(soundInputs()) == HedgeDecision::Send);
    const std::array<std::pair<bool HedgeInputs::*, HedgeDecision>, 5> flags {
        { { &HedgeInputs::hasAttempt, HedgeDecision::NoAttempt },
            { &HedgeInputs::isQuarantined, HedgeDecision::Quarantine },
            { &HedgeInputs::hasRunner, HedgeDecision::NoRunner },
            { &HedgeInputs::hasFreeRunner, HedgeDecision::RunnerLoad },
            { &HedgeInputs::hasRetry, HedgeDecision::RetryBudget } }
    };
    for (const auto& [flag, decision] : flags) {
        auto inputs = soundInputs();
        inputs.*flag = !(inputs.*flag);
        cr_assert(policy.decide(inputs) == decision, "%s", std::string(nameOf(decision)).c_str());
    }
    policy.recordRejection(app);
    clock.advance(999ms);
    cr_assert(policy.decide(soundInputs()) == HedgeDecision::Rejections);
    clock.advance(1ms);
    cr_assert(policy.decide(soundInputs()) == HedgeDecision::Send);
    for (unsigned n = 0; n < 3; ++n) {
        cr_assert(policy.tryTake(app));
    }
    cr_assert(!policy.tryTake(app), "more copies were saved up than may be sent within a moment");
    cr_assert(policy.decide(soundInputs()) == HedgeDecision::Share);
    cr_assert(!policy.tryTake(ServiceId("other")));
}
