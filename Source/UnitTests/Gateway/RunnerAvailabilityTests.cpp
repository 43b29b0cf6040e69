#include "Gateway/GatewayFixture.h"

#include <algorithm>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const UpstreamId r1("r1");
const UpstreamId r2("r2");
const UpstreamId r3("r3");

std::uint64_t processOf(const RunnerEntry& entry) { return holderHash(entry.id, entry.incarnation); }

RunnerEntry nextStartOf(const std::string& id)
{
    auto entry = makeRunner(id);
    entry.incarnation = Incarnation(2);
    return entry;
}

struct AvailabilityFixture : GatewayFixture {
    std::vector<std::string> candidates()
    {
        std::vector<std::string> ids;
        for (const auto& it : runners.candidates(ServiceId("app"), "")) {
            ids.push_back(it.id.value());
        }
        return ids;
    }

    void announce(const UpstreamId& runner)
    {
        runners.recordLeaving(runner, Incarnation(1), LeavingSource::Response, RequestId("q"));
    }

    long sentTo(const std::string& id) { return std::ranges::count(scripted.sent, makeRunner(id).endpoint); }
};

} // namespace

// A runner process that has announced its shutdown must get nothing more, whatever its entry in the store shows later:
// written once more, expired and returned, read again with all others, or removed for long. The next process of the
// runner is used at once, and late entries of the previous one change nothing.
Test(LeavingRunners, staysOutOfUseUntilItsNextStart)
{
    AvailabilityFixture fixture;
    const std::vector<std::string> others { "r2", "r3" };
    const std::vector<std::string> all { "r1", "r2", "r3" };
    const auto entries = [] { return std::vector { makeRunner("r1"), makeRunner("r2"), makeRunner("r3") }; };
    fixture.announce(r1);
    cr_assert(fixture.candidates() == others);
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert(fixture.candidates() == others);
    fixture.runners.markEntryEnded(r1);
    cr_assert(fixture.candidates() == others);
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert(fixture.candidates() == others);
    fixture.runners.replaceEntries({ makeRunner("r2"), makeRunner("r3") });
    fixture.clock.advance(5min);
    fixture.runners.updateEntry(makeRunner("r4"));
    fixture.runners.replaceEntries(entries());
    cr_assert(fixture.candidates() == others);
    fixture.runners.updateEntry(nextStartOf("r1"));
    cr_assert(fixture.candidates() == all);
    cr_assert(fixture.runners.mayStillSend(r1, Incarnation(2)) && !fixture.runners.mayStillSend(r1, Incarnation(1)));
    fixture.runners.updateEntry(makeRunner("r1"));
    cr_assert(fixture.candidates() == others);
}

// An announcement that arrives after the entry has expired must end the grace for expired entries, and one that arrives
// after the next start of the runner must not affect that.
Test(LeavingRunners, appliesAnnouncementsThatOvertakeTheStore)
{
    AvailabilityFixture fixture;
    fixture.runners.replaceEntries({ makeRunner("r1") });
    fixture.runners.markEntryEnded(r1);
    fixture.announce(r1);
    cr_assert_eq(std::ranges::count(fixture.candidates(), "r1"), 0);
    fixture.runners.updateEntry(nextStartOf("r2"));
    fixture.announce(r2);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r2" });
}

// A runner that shuts down must get no orders to load weights.
Test(LeavingRunners, showsLeavingRunnersAsDraining)
{
    AvailabilityFixture fixture;
    fixture.announce(r1);
    cr_assert(fixture.runners.find(r1)->state == RunnerState::Draining);
    cr_assert(fixture.runners.find(r2)->state == RunnerState::Ready);
}

// VMs of a large fleet send a runner few requests, so they learn of its shutdown from each other. A report of another
// VM alone must not take the last runner out of use, nor a process that started after the announcement.
Test(LeavingRunners, treatsReportsOfOtherVmsAsHints)
{
    AvailabilityFixture fixture;
    const RunnerFailures failures { {}, {}, { { processOf(makeRunner("r1")), 40ms } } };
    fixture.runners.recordRemoteFailures(VmId("vm-1"), failures);
    cr_assert(fixture.candidates() == std::vector<std::string>({ "r2", "r3" }));
    fixture.announce(r2);
    fixture.announce(r3);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r1" });
    cr_assert(fixture.runners.find(r1)->state == RunnerState::Ready);
    fixture.announce(r1);
    cr_assert(fixture.candidates().empty());
    fixture.runners.updateEntry(nextStartOf("r1"));
    fixture.runners.recordRemoteFailures(VmId("vm-2"), failures);
    cr_assert(fixture.candidates() == std::vector<std::string> { "r1" });
}

// A report may arrive before the entry of its runner was read, and must be passed on with its age for two or three
// intervals only, in a bounded number of bytes.
Test(LeavingRunners, reportsAnnouncementsWithTheirAgeAndInBoundedNumber)
{
    AvailabilityFixture fixture;
    const auto process = processOf(makeRunner("r9"));
    fixture.runners.recordRemoteFailures(VmId("vm-1"), { {}, {}, { { process, 100ms } } });
    fixture.runners.updateEntry(makeRunner("r9"));
    cr_assert_eq(std::ranges::count(fixture.candidates(), "r9"), 0);
    fixture.clock.advance(250ms);
    const std::vector expected { LeavingRunner { process, 350ms } };
    cr_assert(fixture.runners.recentFailures().leaving == expected);
    fixture.clock.advance(400ms);
    fixture.runners.recordRemoteFailures(VmId("vm-2"), { {}, {}, { { process, 200ms } } });
    cr_assert(fixture.runners.recentFailures().isEmpty());
    for (std::uint64_t n = 1; n <= 5000; ++n) {
        fixture.runners.recordRemoteFailures(VmId("vm-1"), { {}, {}, { { n, 0ms } } });
    }
    cr_assert_eq(fixture.runners.recentFailures().leaving.size(), LeavingRunners::maxReported);
}

// Every kind of response of a runner that shuts down counts, also those that are not passed on.
Test(ForwardDispatcher, takesAnnouncedShutdownsFromAllResponses)
{
    const std::vector<ScriptedAttempt> responses { { .parts = { "body" }, .isLeaving = true },
        { .status = 500, .parts = { "why" }, .isLeaving = true },
        { .isEventStream = true, .parts = { "id: 1\ndata: a\n\n" }, .isLeaving = true },
        { .kind = ReplyKind::NotRun, .status = 503, .isLeaving = true },
        { .kind = ReplyKind::Malformed, .status = 200, .isLeaving = true } };
    for (const auto& it : responses) {
        AvailabilityFixture fixture;
        fixture.scripted.script = { it, { .parts = { "body" } } };
        const auto result = fixture.forward(fixture.makeRequest(it.isEventStream ? "/stream/x" : "/unsafe/x"));
        cr_assert(result || it.kind == ReplyKind::Malformed);
        cr_assert_eq(fixture.candidates().size(), 2);
    }
    // A late copy of an earlier refusal on a connection in use again does not show which request it answers.
    AvailabilityFixture fixture;
    fixture.scripted.script
        = { { .kind = ReplyKind::NotRun, .status = 503, .isLeaving = true, .origin = {} }, { .parts = { "body" } } };
    cr_assert(fixture.forward(fixture.makeRequest("/unsafe/x")).has_value());
    fixture.clock.advance(1s);
    cr_assert_eq(fixture.candidates().size(), 3);
}

// Requests that wait for a connection when the runner announces its shutdown must go to other runners, without counting
// as refused or as repeated: otherwise a restart of a busy runner would use up the retry budget.
Test(ForwardDispatcher, divertsRequestsThatWaitForTheConnectionOfALeavingRunner)
{
    constexpr unsigned waiting = 50;
    AvailabilityFixture fixture;
    fixture.retryBudget.setOptions({ .retriesPerRequest = 0, .retriesPerSecond = 0, .windowSeconds = 10 });
    WaitList gate;
    fixture.scripted.script.assign(waiting, { .parts = { "body" }, .gate = &gate });
    std::deque<RecordingSink> sinks;
    std::deque<ForwardRequest> requests;
    for (unsigned n = 0; n < waiting; ++n) {
        requests.push_back(fixture.makeRequest("/unsafe/x"));
        asio::co_spawn(fixture.context,
            fixture.dispatcher.forward(requests.back(), fixture.clock.now(), sinks.emplace_back()), asio::detached);
    }
    while (gate.size() < waiting) {
        fixture.context.poll_one();
    }
    cr_assert(fixture.scripted.sent.empty());
    const auto placed = std::ranges::count(fixture.scripted.arrivals, makeRunner("r1").endpoint, &Arrival::endpoint);
    cr_assert(placed > 0);
    fixture.announce(r1);
    fixture.scripted.script.assign(waiting, { .parts = { "body" } });
    gate.notifyAll();
    fixture.context.run();
    cr_assert(std::ranges::all_of(sinks, &RecordingSink::isComplete));
    cr_assert_eq(fixture.sentTo("r1"), 0);
    cr_assert_eq(fixture.scripted.sent.size(), waiting);
    cr_assert_eq(fixture.metrics.total(Counter::RequestsDiverted), static_cast<std::uint64_t>(placed));
}

// A stream that breaks off must not be resumed at a runner that shuts down, and callers must be told at once when no
// runner is left.
Test(ForwardDispatcher, refusesAtOnceWhenAllRunnersLeave)
{
    AvailabilityFixture fixture;
    for (const auto& it : { r1, r2, r3 }) {
        fixture.announce(it);
    }
    const auto result = fixture.forward(fixture.makeRequest("/resumable/x"));
    cr_assert(!result && result.error().runState == RunState::NotRun && result.error().retryAfter);
    cr_assert(fixture.scripted.arrivals.empty());
}

// A runner must get nothing in the time that its refusal names, not even if there is no other runner, then one request
// at a time until one is accepted. A second refusal extends the time and never shortens it.
Test(RunnerBackOff, bindsAtOnceAndEndsWithASingleTrial)
{
    AvailabilityFixture fixture;
    fixture.runners.replaceEntries({ makeRunner("r1") });
    fixture.announce(r2);
    fixture.announce(r3);
    const auto refuse = [&](std::chrono::nanoseconds time) {
        fixture.runners.recordBackOff(r1, Incarnation(1), time, RequestId("q"));
    };
    refuse(4s);
    cr_assert(fixture.candidates().empty() && !fixture.runners.mayStillSend(r1, Incarnation(1)));
    fixture.clock.advance(3s);
    refuse(200ms);
    fixture.clock.advance(999ms);
    cr_assert(fixture.candidates().empty());
    refuse(2s);
    fixture.clock.advance(1999ms);
    cr_assert(fixture.candidates().empty());
    cr_assert_eq(fixture.runners.unwillingRunners().inBackOff, 1);
    fixture.clock.advance(300ms);
    for (const bool isAccepted : { false, true }) {
        cr_assert_eq(fixture.candidates().size(), 1);
        cr_assert(fixture.runners.needsTrial(r1));
        fixture.runners.beginTrial(r1);
        cr_assert(fixture.candidates().empty());
        fixture.runners.endTrial(r1, isAccepted);
    }
    cr_assert(!fixture.runners.needsTrial(r1) && fixture.candidates().size() == 1);
}

// The time ends with the runner's process and is bounded, so that a runner that names a day is tried again.
Test(RunnerBackOff, isBoundedAndEndsWithTheProcess)
{
    AvailabilityFixture fixture;
    fixture.runners.recordBackOff(r1, Incarnation(1), 24h, RequestId("q"));
    fixture.clock.advance(RunnerBackOff::longestTime - 1s);
    cr_assert_eq(fixture.candidates().size(), 2);
    fixture.clock.advance(2s);
    cr_assert_eq(fixture.candidates().size(), 3);
    fixture.runners.recordBackOff(r1, Incarnation(1), 10s, RequestId("q"));
    fixture.runners.updateEntry(nextStartOf("r1"));
    cr_assert(!fixture.runners.needsTrial(r1) && fixture.candidates().size() == 3);
    // A refusal that arrives late is not of the new process.
    fixture.runners.recordBackOff(r1, Incarnation(1), 10s, RequestId("q"));
    cr_assert_eq(fixture.candidates().size(), 3);
}

// VMs that were refused at the same time must not all return at the same time.
Test(RunnerBackOff, spreadsTheReturnOfTheVms)
{
    AvailabilityFixture fixture;
    std::set<std::chrono::nanoseconds> ends;
    for (std::uint64_t vm = 0; vm < 20; ++vm) {
        RunnerTable runners(fixture.clock, fixture.timeline, { .spreadSeed = vm });
        runners.updateEntry(makeRunner("r1"));
        runners.recordBackOff(r1, Incarnation(1), 4s, RequestId("q"));
        ends.insert(*runners.timeUntilReturn(ServiceId("app")));
    }
    cr_assert(*ends.begin() >= 4s && *ends.rbegin() <= 4500ms && *ends.rbegin() - *ends.begin() >= 200ms);
    cr_assert_geq(ends.size(), 18);
}

// A request returned to a runner that had refused it when there was no other. If all runners want no requests, it must
// be refused at once, with the time at which the first of them returns.
Test(ForwardDispatcher, refusesAtOnceWhileAllRunnersBackOff)
{
    AvailabilityFixture fixture;
    const ScriptedAttempt refusal { .kind = ReplyKind::NotRun, .status = 503, .unwantedFor = 4s };
    auto shortest = refusal;
    shortest.unwantedFor = 2s;
    fixture.scripted.script = { refusal, shortest, refusal };
    const auto check = [&fixture] {
        const auto result = fixture.forward(fixture.makeRequest("/unsafe/x"));
        cr_assert(!result && result.error().code == ErrorCode::Unavailable);
        cr_assert(result.error().runState == RunState::NotRun);
        cr_assert(result.error().retryAfter >= 2s && result.error().retryAfter <= 3500ms);
        return *result.error().retryAfter;
    };
    std::set<std::chrono::milliseconds> times;
    for (int n = 0; n < 20; ++n) {
        times.insert(check());
    }
    cr_assert_eq(fixture.scripted.sent.size(), 3);
    cr_assert_geq(times.size(), 15, "the callers return together");
    cr_assert_eq(fixture.metrics.total(Counter::BackOffs), 3);
}

// After the time only one of the requests that arrive together must be sent; the others follow when it is accepted.
Test(ForwardDispatcher, sendsOneTrialAfterABackOff)
{
    AvailabilityFixture fixture;
    fixture.runners.replaceEntries({ makeRunner("r1") });
    fixture.announce(r2);
    fixture.announce(r3);
    fixture.scripted.script = { { .kind = ReplyKind::NotRun, .status = 503, .unwantedFor = 1s } };
    cr_assert(!fixture.forward(fixture.makeRequest("/safe/x")));
    fixture.clock.advance(1200ms);
    unsigned refused = 0;
    ScriptedAttempt trial { .parts = { "body" } };
    trial.onArrival = [&] {
        for (int n = 0; n < 10; ++n) {
            refused += fixture.candidates().empty() ? 1 : 0;
        }
    };
    fixture.scripted.script = { trial, { .parts = { "body" } } };
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(refused, 10);
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(fixture.metrics.total(Counter::BackOffTrials), 1);
}

// Guards against a runner that gets no further request because the trial after its back-off never ended: it was silent,
// and another runner took over.
Test(ForwardDispatcher, endsTheTrialOfASilentRunnerThatIsReplaced)
{
    AvailabilityFixture fixture;
    for (const auto& it : { r1, r2, r3 }) {
        fixture.runners.recordBackOff(it, Incarnation(1), 1s, RequestId("q"));
    }
    fixture.clock.advance(1200ms);
    ScriptedAttempt silent { .parts = { "body" } };
    silent.headSilence = 5s;
    fixture.scripted.script = { silent, { .parts = { "body" } } };
    auto request = fixture.makeRequest("/safe/x");
    request.timeout = 10s;
    cr_assert(fixture.forward(request).has_value());
    cr_assert_eq(fixture.metrics.total(Counter::BackOffTrials), 2);
    cr_assert_eq(fixture.candidates().size(), 3);
}

// A refusal without a usable time must not take a runner out of use for long.
Test(ForwardDispatcher, avoidsRunnersBrieflyAfterRefusalsWithoutATime)
{
    AvailabilityFixture fixture;
    fixture.scripted.script = { { .kind = ReplyKind::NotRun, .status = 503 },
        { .kind = ReplyKind::NotRun, .status = 503, .unwantedFor = 9s, .origin = {} }, { .parts = { "body" } } };
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(fixture.candidates().size(), 1);
    fixture.clock.advance(200ms);
    cr_assert_eq(fixture.candidates().size(), 3);
}
