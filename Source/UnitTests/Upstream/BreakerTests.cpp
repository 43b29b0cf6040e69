#include "Support/ServingFixture.h"
#include "Upstream/CircuitBreaker.h"

using namespace Pollenwind;

namespace {

void fail3(CircuitBreaker& breaker)
{
    for (int n = 0; n < 3; ++n) {
        breaker.recordStarted();
        breaker.recordFailure();
    }
}

const BreakerOptions options;

} // namespace

// Guards against a breaker that opens on failures that are not consecutive, or never opens.
Test(CircuitBreaker, opensOnConsecutiveFailuresOnly)
{
    ManualClock clock;
    CircuitBreaker breaker(clock);
    for (int n = 0; n < 10; ++n) {
        breaker.recordFailure();
        breaker.recordFailure();
        breaker.recordSuccess();
    }
    cr_assert(breaker.state() == BreakerState::Closed);
    breaker.recordAbandoned();
    fail3(breaker);
    cr_assert(breaker.state() == BreakerState::Open);
    cr_assert_eq(breaker.admission(), 0);
}

// Guards against more than one concurrent probe, and against full load right after the probe.
Test(CircuitBreaker, probesOnceAndStartsSlowly)
{
    ManualClock clock;
    CircuitBreaker breaker(clock);
    fail3(breaker);
    clock.advance(options.openTime);
    cr_assert_gt(breaker.admission(), 0);
    breaker.recordStarted();
    cr_assert(breaker.state() == BreakerState::HalfOpen);
    cr_assert_eq(breaker.admission(), 0);
    breaker.recordSuccess();
    cr_assert(breaker.state() == BreakerState::SlowStart);
    const double early = breaker.admission();
    clock.advance(options.slowStartTime / 2);
    cr_assert(early < breaker.admission() && breaker.admission() < 1);
    clock.advance(options.slowStartTime);
    breaker.refresh();
    cr_assert(breaker.state() == BreakerState::Closed && breaker.admission() == 1);
}

// Guards against a probe that was abandoned without a result and blocks all later ones.
Test(CircuitBreaker, abandonedProbeAllowsAnother)
{
    ManualClock clock;
    CircuitBreaker breaker(clock);
    fail3(breaker);
    clock.advance(options.openTime);
    breaker.recordStarted();
    breaker.recordAbandoned();
    cr_assert_gt(breaker.admission(), 0);
}

// Guards against probing a failed upstream without back-off, and against a long wait for one that was restarted.
Test(CircuitBreaker, failedProbesWaitLongerUntilARestart)
{
    ManualClock clock;
    CircuitBreaker breaker(clock);
    fail3(breaker);
    clock.advance(options.openTime);
    breaker.recordStarted();
    breaker.recordFailure();
    cr_assert(breaker.state() == BreakerState::Open);
    clock.advance(options.openTime);
    cr_assert_eq(breaker.admission(), 0);
    breaker.recordRestart();
    cr_assert(breaker.state() == BreakerState::HalfOpen);
    cr_assert_gt(breaker.admission(), 0);
}

// Guards against requests to upstreams that are leaving, unreachable or behind an open breaker, and against breaker
// states that are missing from the status, the metrics and the timeline.
Test(UpstreamTable, candidatesFollowHealthAndBreaker)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    auto& table = router.upstreams;
    const auto count = [&] { return table.candidates(ServiceId("fitter"), VersionId("v1")).size(); };
    cr_assert_eq(count(), 2);
    cr_assert_eq(table.candidates(ServiceId("fitter"), VersionId("v2")).size(), 0);

    fixture.engines[0].leave();
    fixture.run([&] { return fixture.probeHealth(); });
    cr_assert_eq(count(), 1);
    const UpstreamId other("engine-1");
    table.recordHealth(other, fail(ErrorCode::ConnectFailed, "down"));
    cr_assert_eq(count(), 0);
    fixture.run([&] { return fixture.probeHealth(); });
    cr_assert_eq(count(), 1);

    for (int n = 0; n < 3; ++n) {
        table.recordStarted(other, 10);
        table.recordEnded(other, 10, WorkResult::Failed);
    }
    cr_assert_eq(count(), 0);
    cr_assert_eq(router.metrics.total(Counter::BreakerOpenings), 1);
    cr_assert_eq(table.status()[1].breaker, "open");
    const auto events = router.timeline.events();
    cr_assert(events.back().kind == EventKind::BreakerOpened);

    // A crash gives the engine a new incarnation, after which the breaker lets a probe through.
    fixture.engines[1].crash();
    fixture.run([&] { return fixture.probeHealth(); });
    cr_assert_eq(count(), 1);
    cr_assert_eq(table.status()[1].breaker, "half-open");
}
