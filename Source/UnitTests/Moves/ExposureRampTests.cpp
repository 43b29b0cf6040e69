#include "Moves/ExposureRamp.h"

#include <criterion/criterion.h>

#include <deque>
#include <random>

using namespace Pollenwind;

namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr double usedAllowance = 0.7;

double allowed(const RampState& state)
{
    return state.allowance.share * static_cast<double>(state.requests) + state.allowance.slack;
}

struct Traffic {
    double requestsPerSecond;
    seconds duration;
};

// Rates of the sites, and extremes.
constexpr std::array traffics { Traffic { 0.5, seconds(15) }, Traffic { 5, seconds(15) }, Traffic { 47, seconds(15) },
    Traffic { 85, seconds(15) }, Traffic { 370, seconds(15) }, Traffic { 47, seconds(30) }, Traffic { 85, seconds(30) },
    Traffic { 370, seconds(30) }, Traffic { 5000, seconds(10) }, Traffic { 47, seconds(2) } };

/// Requests in order of time; each decision may see counts that are late.
class RampRun {
public:
    RampRun(const Traffic& traffic, std::uint64_t seed, nanoseconds interval, nanoseconds lateness)
        : m_random(seed)
        , m_interval(interval)
        , m_lateness(lateness)
    {
        m_state.duration = traffic.duration;
        m_state.requestsPerSecond = traffic.requestsPerSecond;
    }

    /// @param change Changes the evaluation before each decision.
    template <typename Change> RampDecision run(Change change)
    {
        const ExposureRamp ramp;
        auto nextDecision = nanoseconds(0);
        RampDecision decision;
        for (;;) {
            m_state.sinceOrder += nextGap();
            if (m_state.sinceOrder >= nextDecision) {
                nextDecision = m_state.sinceOrder + m_interval;
                change(m_state);
                decision = ramp.decide(lateState());
                if (decision.action != RampAction::Continue) {
                    return decision;
                }
                measure(decision);
            }
            ++m_state.requests;
            m_state.newRequests += std::bernoulli_distribution(decision.share)(m_random) ? 1 : 0;
            m_history.push_back(m_state);
            m_largestPart = std::max(m_largestPart, static_cast<double>(m_state.newRequests) / allowed(m_state));
            m_largestUse
                = std::max(m_largestUse, static_cast<double>(m_state.newRequests) - usedAllowance * allowed(m_state));
        }
    }

    const RampState& state() const { return m_state; }
    double largestPart() const { return m_largestPart; }
    double largestUse() const { return m_largestUse; }
    nanoseconds fullLoad() const { return m_fullLoadEnd - m_fullLoadStart; }

private:
    nanoseconds nextGap()
    {
        const double gap = std::exponential_distribution<double>(m_state.requestsPerSecond)(m_random);
        return std::chrono::duration_cast<nanoseconds>(std::chrono::duration<double>(gap));
    }

    RampState lateState()
    {
        RampState state = m_state;
        while (m_history.size() > 1 && m_history[1].sinceOrder <= m_state.sinceOrder - m_lateness) {
            m_history.pop_front();
        }
        const bool isKnown = !m_history.empty() && m_history.front().sinceOrder <= m_state.sinceOrder - m_lateness;
        state.requests = isKnown ? m_history.front().requests : 0;
        state.newRequests = isKnown ? m_history.front().newRequests : 0;
        return state;
    }

    void measure(const RampDecision& decision)
    {
        if (decision.stage == RampStage::FullLoad) {
            m_fullLoadStart = m_fullLoadStart.count() == 0 ? m_state.sinceOrder : m_fullLoadStart;
            m_fullLoadEnd = m_state.sinceOrder;
        }
    }

    std::mt19937_64 m_random;
    nanoseconds m_interval;
    nanoseconds m_lateness;
    RampState m_state;
    std::deque<RampState> m_history;
    double m_largestPart = 0;
    double m_largestUse = 0;
    nanoseconds m_fullLoadStart { 0 };
    nanoseconds m_fullLoadEnd { 0 };
};

} // namespace

// Guards against a version that gets more requests than its allowance, with few requests or many.
Test(ExposureRamp, keepsToItsPartOfTheAllowanceAtAnyRate)
{
    for (const auto& traffic : traffics) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            RampRun run(traffic, seed, nanoseconds(0), nanoseconds(0));
            run.run([](RampState&) { });
            cr_assert_leq(run.largestUse(), 0.0, "%.1f requests/s, seed %zu", traffic.requestsPerSecond, seed);
        }
    }
}

// Guards against an allowance that is exceeded because counts and decisions travel through the fleet.
Test(ExposureRamp, keepsTheAllowanceWhenCountsAreLate)
{
    for (const auto& traffic : traffics) {
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            RampRun run(traffic, seed, milliseconds(250), milliseconds(250));
            run.run([](RampState&) { });
            cr_assert_leq(run.largestPart(), 1.0, "%.1f requests/s, seed %zu: %.2f", traffic.requestsPerSecond, seed,
                run.largestPart());
        }
    }
}

// Guards against a budget that allows more than the share of a surge that the rate does not show yet.
Test(ExposureRamp, boundsRequestsByABudgetWhenTheRateIsUnknown)
{
    RampState state;
    state.duration = seconds(15);
    state.sinceOrder = seconds(5);
    state.requests = 100;
    state.newRequests = 30;
    const auto decision = ExposureRamp().decide(state);
    cr_assert_leq(decision.budget, 12);
    state.newRequests = 42;
    cr_assert_eq(ExposureRamp().decide(state).share, 0);
    cr_assert_eq(ExposureRamp().decide(state).budget, 0);
}

// Guards against a version that never completes because no request shows that it is good.
Test(ExposureRamp, completesAVersionWithoutTraffic)
{
    RampState state;
    state.duration = seconds(15);
    state.sinceOrder = milliseconds(14'000);
    cr_assert(ExposureRamp().decide(state).action == RampAction::Continue);
    state.sinceOrder = milliseconds(14'600);
    cr_assert(ExposureRamp().decide(state).action == RampAction::Complete);
}

// Guards against a rejected version that keeps its share.
Test(ExposureRamp, rollsBackAsSoonAsTheVersionIsRejected)
{
    RampState state;
    state.duration = seconds(15);
    state.sinceOrder = milliseconds(10);
    state.requestsPerSecond = 47;
    state.isRejected = true;
    const auto decision = ExposureRamp().decide(state);
    cr_assert(decision.action == RampAction::RollBack);
    cr_assert_eq(decision.share, 0);
}

// Guards against completing a version that the evidence speaks against when the time runs out.
Test(ExposureRamp, rollsBackAVersionThatIsSuspectAtTheEnd)
{
    RampRun run({ 47, seconds(15) }, 1, milliseconds(250), milliseconds(0));
    const auto decision = run.run([](RampState& state) { state.isSuspect = state.sinceOrder > seconds(3); });
    cr_assert(decision.action == RampAction::RollBack);
}

// Guards against giving a suspect version more traffic, the full load included.
Test(ExposureRamp, doesNotRaiseTheShareOfASuspectVersion)
{
    for (const auto& traffic : traffics) {
        RampState state;
        state.duration = traffic.duration;
        state.requestsPerSecond = traffic.requestsPerSecond;
        for (int i = 0; i < 150; ++i) {
            state.sinceOrder = traffic.duration * i / 150;
            state.requests = static_cast<std::uint64_t>(traffic.requestsPerSecond * static_cast<double>(i) / 10);
            RampState suspect = state;
            suspect.isSuspect = true;
            const auto decision = ExposureRamp().decide(suspect);
            cr_assert_leq(decision.share, ExposureRamp().decide(state).share);
            cr_assert_leq(decision.share, 0.04);
        }
    }
}

// Guards against a version that completes without having had the whole traffic, which hides faults under load, and
// against a result that is written too late.
Test(ExposureRamp, givesTheWholeTrafficBeforeItCompletesInTime)
{
    for (const auto& traffic : traffics) {
        if (traffic.requestsPerSecond < 47 || traffic.duration < seconds(15)) {
            continue;
        }
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            RampRun run(traffic, seed, milliseconds(20), milliseconds(0));
            const auto decision = run.run([](RampState&) { });
            cr_assert(decision.action == RampAction::Complete);
            cr_assert_geq(run.fullLoad().count(), nanoseconds(milliseconds(600)).count(), "%.0f requests/s, %.3f s",
                traffic.requestsPerSecond, static_cast<double>(run.fullLoad().count()) / 1e9);
            cr_assert_leq(run.fullLoad(), traffic.duration / 5);
            cr_assert_leq(run.state().sinceOrder, traffic.duration - milliseconds(300));
        }
    }
}

// Guards against tables of names that lack a value.
Test(ExposureRamp, namesEachActionAndStage)
{
    cr_assert(nameOf(RampAction::RollBack) == "roll-back");
    cr_assert(nameOf(RampStage::FullLoad) == "full-load");
}
