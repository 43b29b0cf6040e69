#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const Error lost { ErrorCode::ConnectionLost, "reset", RunState::Unknown };
const Error notConnected { ErrorCode::ConnectFailed, "refused" };

ScriptedAttempt ok(std::string body) { return { .parts = { std::move(body) } }; }
ScriptedAttempt refused() { return { .kind = ReplyKind::NotRun, .status = 503 }; }
ScriptedAttempt failedBegin(const Error& error) { return { .beginError = error }; }

ScriptedAttempt stream(std::vector<std::string> parts, std::optional<Error> end = std::nullopt)
{
    return { .isEventStream = true, .parts = std::move(parts), .endError = std::move(end) };
}

} // namespace

// The caller must get the complete response, and the runner the organisation and the remaining time.
Test(ForwardDispatcher, forwardsAResponse)
{
    GatewayFixture fixture;
    fixture.scripted.script = { ok("body") };
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(fixture.sink.body, "body");
    const auto& terms = fixture.scripted.arrivals.front().terms;
    cr_assert(terms.organisation == OrganisationId("org"));
    cr_assert_eq(terms.timeout.count(), 5000);
    cr_assert_eq(fixture.scripted.finished, 1);
}

// A request that must run at most once is not sent again after its connection was lost, since it may have run.
Test(ForwardDispatcher, sendsAnUnsafeRequestOnceAfterItMayHaveRun)
{
    for (const auto* path : { "/unsafe/x", "/stream/x" }) {
        GatewayFixture fixture;
        fixture.scripted.script = { failedBegin(lost) };
        const auto result = fixture.forward(fixture.makeRequest(path));
        cr_assert(!result && result.error().runState == RunState::Unknown);
        cr_assert_eq(fixture.scripted.arrivals.size(), 1);
    }
}

// After a refusal or a failed connection, an unsafe request has not run and must be sent to another runner.
Test(ForwardDispatcher, repeatsAnUnsafeRequestThatHasNotRun)
{
    GatewayFixture fixture;
    fixture.scripted.script = { failedBegin(notConnected), refused(), ok("done") };
    cr_assert(fixture.forward(fixture.makeRequest("/unsafe/x")).has_value());
    cr_assert_eq(fixture.sink.body, "done");
    cr_assert_eq(fixture.scripted.arrivals.size(), 3);
    cr_assert(fixture.scripted.arrivals[0].endpoint != fixture.scripted.arrivals[1].endpoint);
}

// A request that is stopped at its deadline while a runner processes it may have run. It must not be refused as "not
// run", since the caller would repeat it.
Test(ForwardDispatcher, reportsAStoppedRequestAsPossiblyRun)
{
    GatewayFixture fixture;
    auto attempt = failedBegin(lost);
    attempt.onArrival = [&fixture] { fixture.sink.stop(ErrorCode::DeadlineExceeded); };
    fixture.scripted.script = { attempt };
    const auto result = fixture.forward(fixture.makeRequest("/unsafe/x"));
    cr_assert(!result && result.error().code == ErrorCode::DeadlineExceeded);
    cr_assert(result.error().runState == RunState::Unknown);
    cr_assert_eq(fixture.scripted.cancelled, 2);
}

// After the caller disconnected, the request must not be sent again.
Test(ForwardDispatcher, stopsWhenTheCallerDisconnects)
{
    GatewayFixture fixture;
    auto attempt = failedBegin(lost);
    attempt.onArrival = [&fixture] { fixture.sink.stop(ErrorCode::Cancelled); };
    fixture.scripted.script = { attempt };
    const auto result = fixture.forward(fixture.makeRequest("/safe/x"));
    cr_assert(!result && result.error().code == ErrorCode::Cancelled);
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// A safe request is repeated, but not more often than its route allows.
Test(ForwardDispatcher, repeatsASafeRequestWithinItsAttempts)
{
    GatewayFixture fixture;
    fixture.scripted.script = { failedBegin(lost), failedBegin(lost) };
    cr_assert(!fixture.forward(fixture.makeRequest("/safe/x")));
    cr_assert_eq(fixture.scripted.arrivals.size(), 2);
}

// If the retry fails without a response, the caller must get the error response of the first attempt.
Test(ForwardDispatcher, forwardsARunnersErrorWhenTheRetryFails)
{
    GatewayFixture fixture;
    fixture.scripted.script = { { .status = 500, .parts = { "why" } }, failedBegin(lost) };
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(fixture.sink.status, 500);
    cr_assert_eq(fixture.sink.body, "why");
}

// An invalid response must not reach the caller.
Test(ForwardDispatcher, dropsInvalidResponses)
{
    GatewayFixture fixture;
    fixture.scripted.script = { { .kind = ReplyKind::Malformed, .parts = { "garbage" } } };
    const auto result = fixture.forward(fixture.makeRequest("/unsafe/x"));
    cr_assert(!result && result.error().runState == RunState::Unknown);
    cr_assert_eq(fixture.sink.body, "");
}

// A resumed stream must continue after the last complete event, without losing, duplicating or splitting an event.
Test(ForwardDispatcher, resumesAStreamAfterTheLastCompleteEvent)
{
    GatewayFixture fixture;
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\nid: 2\nda", "ta: b\n\nid: 3\nda" }, lost),
        stream({ "id: 2\ndata: b\n\nid: 3\ndata: c\n\n" }) };
    cr_assert(fixture.forward(fixture.makeRequest("/resumable/x")).has_value());
    cr_assert_eq(fixture.sink.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n");
    cr_assert(fixture.sink.isComplete);
    cr_assert(fixture.scripted.arrivals[1].terms.lastEventId == 2U);
}

// If a stream breaks off that must not be resumed, it is neither continued from a second run nor ended as complete.
Test(ForwardDispatcher, doesNotCompleteAStreamThatBrokeOff)
{
    GatewayFixture fixture;
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\n" }, lost) };
    cr_assert(!fixture.forward(fixture.makeRequest("/stream/x")));
    cr_assert(!fixture.sink.isComplete);
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// A safe request's first attempt got an error response, and the stream of the second one broke off. The error response
// must not follow the events that the caller has.
Test(ForwardDispatcher, doesNotSendAnErrorIntoAStreamThatBrokeOff)
{
    GatewayFixture fixture;
    fixture.scripted.script
        = { { .status = 500, .parts = { "why" } }, stream({ "id: 1\ndata: a\n\n", "id: 2\nda" }, lost) };
    cr_assert(!fixture.forward(fixture.makeRequest("/safe/x")));
    cr_assert_eq(fixture.sink.body, "id: 1\ndata: a\n\n");
    cr_assert_eq(fixture.sink.status, 200);
    cr_assert(!fixture.sink.isComplete);
}

// A slow stream must not be cut while its events arrive in time, at whatever rate their bytes arrive, and one whose
// events stall must be resumed although single bytes still arrive: callers disconnect after a pause between events.
Test(ForwardDispatcher, judgesASlowStreamByItsEventsNotByItsBytes)
{
    struct Case {
        std::size_t bytes;
        std::chrono::milliseconds interval;
        bool isInTime;
    };
    // An event has 15 bytes. The pause limit is 1.5 s.
    constexpr std::array cases { Case { 1, 1ms, true }, Case { 1, 20ms, true }, Case { 1, 90ms, true },
        Case { 1, 110ms, false }, Case { 1, 400ms, false }, Case { 1, 900ms, false }, Case { 4, 300ms, true },
        Case { 4, 500ms, false }, Case { 15, 1400ms, true }, Case { 15, 1600ms, false } };
    const std::string whole = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    for (const auto& it : cases) {
        for (const auto* path : { "/resumable/x", "/stream/x" }) {
            GatewayFixture fixture;
            auto slow = stream({ whole.substr(0, 15) });
            for (std::size_t at = 15; at < whole.size(); at += it.bytes) {
                slow.parts.push_back(whole.substr(at, it.bytes));
            }
            slow.partInterval = it.interval;
            fixture.scripted.script = { slow, stream({ whole }) };
            auto request = fixture.makeRequest(path);
            request.timeout = 60s;
            const bool isDelivered = fixture.forward(request).has_value();
            const bool isResumed = !it.isInTime && std::string_view(path) == "/resumable/x";
            cr_assert(isDelivered && fixture.sink.isComplete && fixture.sink.body == whole, "%zu bytes each %ld ms: %s",
                it.bytes, it.interval.count(), fixture.sink.body.c_str());
            cr_assert_eq(fixture.scripted.arrivals.size(), isResumed ? 2 : 1, "%zu bytes each %ld ms", it.bytes,
                it.interval.count());
        }
    }
}

// A caller that reads slowly must not make its runner look stalled.
Test(ForwardDispatcher, doesNotResumeTheStreamOfASlowCaller)
{
    GatewayFixture fixture;
    fixture.sink.onWrite = [&fixture] { fixture.clock.advance(4s); };
    auto attempt = stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    attempt.partInterval = 10ms;
    fixture.scripted.script = { attempt };
    auto request = fixture.makeRequest("/resumable/x");
    request.timeout = 60s;
    cr_assert(fixture.forward(request).has_value() && fixture.sink.isComplete);
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// A stream whose events have no ids cannot be resumed: a second run would send its events again.
Test(ForwardDispatcher, doesNotResumeAStreamWithoutEventIds)
{
    GatewayFixture fixture;
    fixture.scripted.script = { stream({ "data: a\n\n" }, lost), stream({ "data: a\n\n", "data: b\n\n" }) };
    cr_assert(!fixture.forward(fixture.makeRequest("/resumable/x")));
    cr_assert_eq(fixture.sink.body, "data: a\n\n");
    cr_assert(!fixture.sink.isComplete);
}

// A stream that ends within an event must not look complete to the caller.
Test(ForwardDispatcher, doesNotCompleteAStreamThatEndsWithinAnEvent)
{
    GatewayFixture fixture;
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\nid: 2\nda" }) };
    cr_assert(!fixture.forward(fixture.makeRequest("/stream/x")));
    cr_assert(!fixture.sink.isComplete);
}

// Retries, repeats after a refusal and resumes all need the retry budget. Without it, streams were resumed without
// limit.
Test(ForwardDispatcher, keepsRepeatsAndResumesWithinTheBudget)
{
    GatewayFixture fixture;
    fixture.retryBudget.setOptions({ .retriesPerRequest = 0, .retriesPerSecond = 0, .windowSeconds = 10 });
    fixture.scripted.script = { failedBegin(lost), refused(), stream({ "id: 1\ndata: a\n\n" }, lost) };
    cr_assert(!fixture.forward(fixture.makeRequest("/safe/x")));
    const auto refusedResult = fixture.forward(fixture.makeRequest("/unsafe/x"));
    cr_assert(!refusedResult && refusedResult.error().runState == RunState::NotRun);
    cr_assert(!fixture.forward(fixture.makeRequest("/resumable/x")));
    cr_assert_eq(fixture.scripted.arrivals.size(), 3);
}

// Each cause of a refusal has its own error code. Keys must not be accepted if a withdrawal may have been missed.
Test(ForwardDispatcher, refusesWithTheErrorOfTheCause)
{
    GatewayFixture fixture;
    fixture.freshness.acceptsKeys = false;
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).error().code == ErrorCode::KeyUnconfirmed);
    fixture.freshness.acceptsKeys = true;
    auto request = fixture.makeRequest("/safe/x");
    request.keyDigest = sha256("wrong");
    cr_assert(fixture.forward(request).error().code == ErrorCode::KeyUnknown);
    cr_assert(fixture.forward(fixture.makeRequest("/nothing/")).error().code == ErrorCode::NoRoute);
    request = fixture.makeRequest("/safe/x");
    // Without this the request would wait for its tokens.
    cr_assert(fixture.quota.take(fixture.routing.current()->organisations.front(), { 250'000 }).has_value());
    request.tokens = TokenCount { 2'000'000, 0 };
    cr_assert(fixture.forward(request).error().code == ErrorCode::RateExceeded);
    cr_assert(fixture.scripted.arrivals.empty());
}

// Guards against taking the lack of organisations for the lack of a rule: a configuration without any accepts no key.
Test(ForwardDispatcher, acceptsNoKeyWhileThereAreNoOrganisations)
{
    GatewayFixture fixture;
    auto configuration = *fixture.routing.current();
    configuration.version = 2;
    configuration.organisations.clear();
    fixture.routing.adopt(configuration);
    auto request = fixture.makeRequest("/safe/x");
    cr_assert(fixture.forward(request).error().code == ErrorCode::KeyUnknown);
    request.keyDigest.reset();
    cr_assert(fixture.forward(request).error().code == ErrorCode::KeyUnknown);
    cr_assert(fixture.scripted.arrivals.empty());
    configuration.version = 3;
    configuration.requiresKeys = false;
    fixture.routing.adopt(configuration);
    fixture.scripted.script = { { .parts = { "body" } } };
    cr_assert(fixture.forward(request) && !fixture.scripted.arrivals.front().terms.organisation);
}

// Guards against requests for the last service of a route when no service has a weight.
Test(ForwardDispatcher, sendsNothingToAServiceWithoutAWeight)
{
    GatewayFixture fixture;
    auto configuration = *fixture.routing.current();
    const auto setShares = [&](std::vector<RouteShare> shares) {
        ++configuration.version;
        configuration.routes.front().shares = std::move(shares);
        fixture.routing.adopt(configuration);
    };
    for (const double weight : { 0.0, -1.0 }) {
        setShares({ { ServiceId("other"), weight }, { ServiceId("app"), weight } });
        cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).error().code == ErrorCode::NoRoute);
    }
    setShares({ { ServiceId("app"), 1 }, { ServiceId("other"), -5 } });
    for (unsigned i = 0; i < 50; ++i) {
        fixture.scripted.script = { { .parts = { "body" } } };
        cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    }
}

// A router without a configuration must refuse requests as unavailable, not with an unknown route or key.
Test(ForwardDispatcher, isUnavailableBeforeTheFirstConfiguration)
{
    GatewayFixture fixture;
    RoutingTable empty(fixture.timeline);
    ForwardDispatcher dispatcher({ fixture.clock, empty, fixture.freshness, fixture.runners, fixture.runners,
        fixture.policy, fixture.directory, fixture.quota, fixture.retryBudget, fixture.scripted, fixture.metrics,
        fixture.log, fixture.quarantine, fixture.quarantine, fixture.crashes, fixture.rollouts, fixture.rollouts });
    const auto request = fixture.makeRequest("/safe/x");
    const auto result = runTask(fixture.context, dispatcher.forward(request, fixture.clock.now(), fixture.sink));
    cr_assert(result.error().code == ErrorCode::Unavailable && result.error().retryAfter.has_value());
}

// Callers reach a VM that has just restarted before the load balancer notices. Refused at once, their only retry often
// reached another VM that was starting: 8,143 attempts of a day with a restart of all 295 VMs ended so.
Test(ForwardDispatcher, servesARequestThatArrivesBeforeTheFirstConfiguration)
{
    GatewayFixture fixture;
    RoutingTable starting(fixture.timeline);
    ForwardDispatcher dispatcher({ fixture.clock, starting, fixture.freshness, fixture.runners, fixture.runners,
        fixture.policy, fixture.directory, fixture.quota, fixture.retryBudget, fixture.scripted, fixture.metrics,
        fixture.log, fixture.quarantine, fixture.quarantine, fixture.crashes, fixture.rollouts, fixture.rollouts });
    fixture.scripted.script = { { .parts = { "body" } } };
    asio::steady_timer timer(fixture.context, 30ms);
    timer.async_wait([&](const boost::system::error_code&) {
        starting.adopt(*fixture.routing.current());
        dispatcher.onConfigurationRead();
    });
    const auto request = fixture.makeRequest("/safe/x");
    const auto result = runTask(fixture.context, dispatcher.forward(request, fixture.clock.now(), fixture.sink));
    cr_assert(result && fixture.sink.body == "body");
}

// A request that lacks tokens must wait for them and then be served; its caller may leave meanwhile.
Test(ForwardDispatcher, waitsForTheTokensOfTheOrganisation)
{
    GatewayFixture fixture;
    fixture.scripted.script = { { .parts = { "body" } } };
    auto request = fixture.makeRequest("/safe/x");
    while (fixture.quota.take(fixture.routing.current()->organisations.front(), { 10'000 })) { }
    request.tokens = TokenCount { 50'000, 0 };
    cr_assert(fixture.forward(request) && fixture.sink.body == "body");
    cr_assert_eq(fixture.metrics.total(Counter::QuotaWaits), 1);
    asio::steady_timer timer(fixture.context, 5ms);
    timer.async_wait([&](const boost::system::error_code&) { fixture.sink.stop(ErrorCode::Cancelled); });
    const auto left = fixture.forward(request);
    cr_assert(!left && left.error().code == ErrorCode::Cancelled && left.error().runState == RunState::NotRun);
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// The cache salt must separate the entries of different weights and of isolated organisations.
Test(ForwardDispatcher, saltsTheCacheByWeightsAndIsolation)
{
    GatewayFixture fixture;
    auto configuration = *fixture.routing.current();
    configuration.version = 2;
    configuration.organisations.front().isIsolated = true;
    fixture.routing.adopt(configuration);
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\n" }) };
    auto request = fixture.makeRequest("/stream/x");
    request.model = "model";
    cr_assert(fixture.forward(request).has_value());
    const auto& terms = fixture.scripted.arrivals.front().terms;
    cr_assert_eq(terms.cacheSalt, "w1/isolated/org");
    cr_assert_eq(terms.expectedWeights, 1);
}

// A request that waits in the queue of a runner with old weights must not begin there after the limit: requests placed
// 6.7 s after a new target was set began up to 2.4 s later.
Test(ForwardDispatcher, takesARequestBackThatWouldBeginOnOldWeightsTooLate)
{
    GatewayFixture fixture;
    fixture.clock.advance(1h);
    fixture.runners.setTargetWeights("model", 2, fixture.clock.now(), ChangeSource::Event);
    fixture.clock.advance(6300ms);
    auto request = fixture.makeRequest("/resumable/x");
    request.model = "model";
    auto queued = failedBegin({ ErrorCode::DeadlineExceeded, "no response in time", RunState::Unknown });
    queued.onArrival = [&fixture] {
        fixture.clock.advance(1100ms);
        for (const auto* id : { "r1", "r2", "r3" }) {
            auto entry = makeRunner(id);
            entry.weights["model"] = 2;
            fixture.runners.updateEntry(entry);
        }
    };
    fixture.scripted.script = { queued, stream({ "id: 1\ndata: a\n\n" }) };
    cr_assert(fixture.forward(request).has_value());
    cr_assert_eq(fixture.scripted.arrivals.size(), 2);
    cr_assert_leq(fixture.scripted.timeouts.front().count(), std::chrono::nanoseconds(1100ms).count());
    cr_assert_eq(fixture.scripted.arrivals.back().terms.expectedWeights, 2);
}

// A request that may not be repeated cannot be taken back from a runner's queue, so it is not placed on old weights so
// late that it might begin after the limit.
Test(ForwardDispatcher, placesNoUnrepeatableRequestOnWeightsThatAreAboutToExpire)
{
    GatewayFixture fixture;
    fixture.clock.advance(1h);
    fixture.runners.setTargetWeights("model", 2, fixture.clock.now(), ChangeSource::Event);
    auto request = fixture.makeRequest("/stream/x");
    request.model = "model";
    fixture.clock.advance(4s);
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\n" }) };
    cr_assert(fixture.forward(request).has_value());
    fixture.clock.advance(2300ms);
    const auto result = fixture.forward(request);
    cr_assert(!result && result.error().runState == RunState::NotRun);
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// Guards against an exception that leaves a request without an answer, counts it at its runner for ever or sends it a
// second time.
Test(ForwardDispatcher, answersARequestWhoseAttemptThrows)
{
    for (const bool isSent : { false, true }) {
        GatewayFixture fixture;
        const auto fail = [] { throw std::length_error("too long"); };
        fixture.scripted.script
            = { isSent ? ScriptedAttempt { .onArrival = fail } : ScriptedAttempt { .onConnect = fail } };
        const auto result = fixture.forward(fixture.makeRequest("/safe/x"));
        cr_assert(!result && result.error().code == ErrorCode::Internal);
        cr_assert(result.error().runState == (isSent ? RunState::Unknown : RunState::NotRun));
        cr_assert_eq(fixture.scripted.arrivals.size(), 1);
        cr_assert_eq(fixture.scripted.cancelled, 1);
        for (const auto* runner : { "r1", "r2", "r3" }) {
            cr_assert_eq(fixture.runners.requestsAt(UpstreamId(runner)), 0);
        }
        // Its handler would refer to the exchange that has ended.
        fixture.sink.stop(ErrorCode::Cancelled);
        cr_assert_eq(fixture.scripted.cancelled, 1);
    }
}

// Guards against ending an answer because its runner is silent, while no other runner can take over: a sound runner may
// fall silent for a second or two and go on.
Test(ForwardDispatcher, waitsForASilentRunnerThatNoOtherCanReplace)
{
    struct Case {
        const char* name;
        const char* path;
        ScriptedAttempt attempt;
        bool hasOthers;
        bool hasBudget;
    };
    auto slowStream = stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    slowStream.partInterval = 1700ms;
    // Bytes of an incomplete event are no progress.
    auto unnumbered = stream({ "data: a\n\n", "data: b", "\n\n" });
    unnumbered.partInterval = 1s;
    auto slowBegin = stream({ "id: 1\ndata: a\n\n" });
    slowBegin.headSilence = 3500ms;
    auto slowAnswer = ok("body");
    slowAnswer.headSilence = 3500ms;
    const std::array cases {
        Case { "a stream at the only runner", "/resumable/x", slowStream, false, true },
        Case { "a stream without a budget to resume", "/resumable/x", slowStream, true, false },
        Case { "a stream without ids", "/resumable/x", unnumbered, true, true },
        Case { "a late begin at the only runner", "/resumable/x", slowBegin, false, true },
        Case { "a late begin without a budget", "/resumable/x", slowBegin, true, false },
        Case { "a late answer at the only runner", "/safe/x", slowAnswer, false, true },
        Case { "a late answer without a budget", "/safe/x", slowAnswer, true, false },
    };
    for (const auto& it : cases) {
        GatewayFixture fixture;
        if (!it.hasOthers) {
            fixture.runners.replaceEntries({ makeRunner("r1") });
        }
        if (!it.hasBudget) {
            fixture.retryBudget.setOptions({ 0, 0, 1 });
        }
        fixture.scripted.script = { it.attempt };
        auto request = fixture.makeRequest(it.path);
        request.timeout = 10s;
        const auto result = fixture.forward(request);
        cr_assert(result.has_value(), "%s: %s", it.name, result ? "" : result.error().message.c_str());
        cr_assert(fixture.sink.isComplete, "%s", it.name);
        cr_assert_eq(fixture.scripted.arrivals.size(), 1, "%s", it.name);
    }
}

// A stalled runner that no other can replace must not hold the request longer than its deadline.
Test(ForwardDispatcher, endsARequestAtItsDeadlineIfNoOtherRunnerCanTakeOver)
{
    for (const bool isBegun : { false, true }) {
        GatewayFixture fixture;
        fixture.runners.replaceEntries({ makeRunner("r1") });
        auto stalled = stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
        (isBegun ? stalled.partInterval : stalled.headSilence) = 4s;
        fixture.scripted.script = { stalled };
        const auto begin = fixture.clock.now();
        auto request = fixture.makeRequest("/resumable/x");
        request.timeout = isBegun ? 6s : 3s;
        const auto result = fixture.forward(request);
        cr_assert(!result && result.error().runState == RunState::Unknown);
        cr_assert(fixture.clock.now() - begin == *request.timeout);
        cr_assert_eq(fixture.scripted.cancelled, 1);
    }
}

// When a runner becomes available that can take over, the wait for the silent one ends.
Test(ForwardDispatcher, resumesAtARunnerThatComesWhileTheFirstIsSilent)
{
    GatewayFixture fixture;
    fixture.runners.replaceEntries({ makeRunner("r1") });
    auto stalled = stream({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" });
    stalled.partInterval = 4s;
    fixture.scripted.script = { stalled, stream({ "id: 2\ndata: b\n\n" }) };
    fixture.sink.onWrite = [&] { fixture.runners.updateEntry(makeRunner("r2")); };
    auto request = fixture.makeRequest("/resumable/x");
    request.timeout = 10s;
    cr_assert(fixture.forward(request).has_value());
    cr_assert_eq(fixture.scripted.arrivals.size(), 2);
    cr_assert_eq(fixture.sink.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}
