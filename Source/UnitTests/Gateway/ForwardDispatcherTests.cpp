#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;

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

// Guards against an answer that is not passed on whole, or without the terms that the runner needs.
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

// Guards against a second run of a request that may run once, whatever way its first attempt failed.
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

// Guards against a refused or unconnected request that is given up although another runner is free.
Test(ForwardDispatcher, repeatsAnUnsafeRequestThatHasNotRun)
{
    GatewayFixture fixture;
    fixture.scripted.script = { failedBegin(notConnected), refused(), ok("done") };
    cr_assert(fixture.forward(fixture.makeRequest("/unsafe/x")).has_value());
    cr_assert_eq(fixture.sink.body, "done");
    cr_assert_eq(fixture.scripted.arrivals.size(), 3);
    cr_assert(fixture.scripted.arrivals[0].endpoint != fixture.scripted.arrivals[1].endpoint);
}

// Guards against a refusal that says "not run" after a runner may have run the request: fresh-50e4 of the kutpenz site
// answered 503 to a booking that was stopped at its deadline while a runner worked on it.
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

// Guards against a caller who left being served further attempts.
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

// Guards against a safe request that is not repeated, and against more runs than the route allows.
Test(ForwardDispatcher, repeatsASafeRequestWithinItsAttempts)
{
    GatewayFixture fixture;
    fixture.scripted.script = { failedBegin(lost), failedBegin(lost) };
    cr_assert(!fixture.forward(fixture.makeRequest("/safe/x")));
    cr_assert_eq(fixture.scripted.arrivals.size(), 2);
}

// Guards against a runner's own failure being replaced by another one when the repeat fails too.
Test(ForwardDispatcher, forwardsARunnersErrorWhenTheRetryFails)
{
    GatewayFixture fixture;
    fixture.scripted.script = { { .status = 500, .parts = { "why" } }, failedBegin(lost) };
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(fixture.sink.status, 500);
    cr_assert_eq(fixture.sink.body, "why");
}

// Guards against an answer of another request, or bytes that are none, reaching the caller.
Test(ForwardDispatcher, dropsInvalidResponses)
{
    GatewayFixture fixture;
    fixture.scripted.script = { { .kind = ReplyKind::Malformed, .parts = { "garbage" } } };
    const auto result = fixture.forward(fixture.makeRequest("/unsafe/x"));
    cr_assert(!result && result.error().runState == RunState::Unknown);
    cr_assert_eq(fixture.sink.body, "");
}

// Guards against a stream that loses or doubles an event where it is resumed, or passes on a part of one.
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

// Guards against a stream that may not be resumed being joined from two runs, or ended as complete.
Test(ForwardDispatcher, doesNotCompleteAStreamThatBrokeOff)
{
    GatewayFixture fixture;
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\n" }, lost) };
    cr_assert(!fixture.forward(fixture.makeRequest("/stream/x")));
    cr_assert(!fixture.sink.isComplete);
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// Guards against a body that ends within an event and looks complete.
Test(ForwardDispatcher, doesNotCompleteAStreamThatEndsWithinAnEvent)
{
    GatewayFixture fixture;
    fixture.scripted.script = { stream({ "id: 1\ndata: a\n\nid: 2\nda" }) };
    cr_assert(!fixture.forward(fixture.makeRequest("/stream/x")));
    cr_assert(!fixture.sink.isComplete);
}

// Guards against repeats and resumes beyond the budget: hunt-ed0e-15 of the kutpenz site resumed without bound.
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

// Guards against keys that are accepted although a withdrawal may have been missed, and against other refusals than the
// cause calls for.
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
    request.tokens = TokenCount { 2'000'000, 0 };
    cr_assert(fixture.forward(request).error().code == ErrorCode::RateExceeded);
    cr_assert(fixture.scripted.arrivals.empty());
}

// Guards against a router without a configuration that answers 404 or 401 to proper requests.
Test(ForwardDispatcher, isUnavailableBeforeTheFirstConfiguration)
{
    GatewayFixture fixture;
    RoutingTable empty(fixture.timeline);
    ForwardDispatcher dispatcher(
        { fixture.clock, empty, fixture.freshness, fixture.runners, fixture.runners, fixture.policy, fixture.directory,
            fixture.quota, fixture.retryBudget, fixture.scripted, fixture.metrics, fixture.log });
    const auto request = fixture.makeRequest("/safe/x");
    const auto result = runTask(fixture.context, dispatcher.forward(request, fixture.clock.now(), fixture.sink));
    cr_assert(result.error().code == ErrorCode::Unavailable && result.error().retryAfter.has_value());
}

// Guards against cache entries of other weights or of an isolated organisation being used.
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
    cr_assert_eq(terms.cacheSalt, "w1/org");
    cr_assert_eq(terms.expectedWeights, 1);
}
