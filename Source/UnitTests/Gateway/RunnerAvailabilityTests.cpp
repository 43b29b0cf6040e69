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
        static_cast<void>(fixture.forward(fixture.makeRequest(it.isEventStream ? "/stream/x" : "/unsafe/x")));
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
