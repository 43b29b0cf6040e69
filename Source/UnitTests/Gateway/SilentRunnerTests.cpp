#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

ScriptedAttempt streamOf(std::vector<std::string> parts)
{
    ScriptedAttempt attempt;
    attempt.isEventStream = true;
    attempt.parts = std::move(parts);
    return attempt;
}

ScriptedAttempt refusal()
{
    ScriptedAttempt attempt;
    attempt.kind = ReplyKind::NotRun;
    attempt.status = 503;
    return attempt;
}

ScriptedAttempt unreachable()
{
    ScriptedAttempt attempt;
    attempt.beginError = Error { ErrorCode::ConnectFailed, "refused", RunState::NotRun };
    return attempt;
}

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";

} // namespace

// Guards against ending an answer of a silent runner that would have gone on, because the runner that is to take over
// refuses or cannot be reached.
Test(SilentRunner, keepsAnAnswerWhoseNextRunnerRefuses)
{
    auto stream = streamOf({ firstEvent, secondEvent });
    stream.partInterval = 1700ms;
    auto lateStream = streamOf({ firstEvent });
    lateStream.headSilence = 3500ms;
    ScriptedAttempt lateAnswer;
    lateAnswer.parts = { "body" };
    lateAnswer.headSilence = 3500ms;
    struct Case {
        const char* name;
        const char* path;
        ScriptedAttempt silent;
    };
    for (const auto& it : { Case { "a stream", "/resumable/x", stream },
             Case { "a late begin", "/resumable/x", lateStream }, Case { "a late answer", "/safe/x", lateAnswer } }) {
        for (const auto& next : { refusal(), unreachable() }) {
            GatewayFixture fixture;
            fixture.scripted.script = { it.silent, next, next, next, next };
            auto request = fixture.makeRequest(it.path);
            request.timeout = 10s;
            const auto result = fixture.forward(request);
            cr_assert(result.has_value(), "%s: %s", it.name, result ? "" : result.error().message.c_str());
            cr_assert(fixture.sink.isComplete, "%s", it.name);
            cr_assert_gt(fixture.scripted.arrivals.size(), 1, "%s", it.name);
            cr_assert_eq(fixture.scripted.finished, 1, "%s", it.name);
            for (const auto* runner : { "r1", "r2", "r3" }) {
                cr_assert_eq(fixture.runners.requestsAt(UpstreamId(runner)), 0, "%s", it.name);
            }
        }
    }
}

// Guards against the end of both runners' answers when the one that is to take over sends an error, whose body may be
// late, while the silent one goes on.
Test(SilentRunner, keepsAnAnswerWhoseNextRunnerFails)
{
    GatewayFixture fixture;
    auto silent = streamOf({ firstEvent, secondEvent });
    silent.partInterval = 1700ms;
    ScriptedAttempt error;
    error.status = 500;
    error.parts = { "error" };
    error.partInterval = 20s;
    fixture.scripted.script = { silent, error, error, error };
    auto request = fixture.makeRequest("/resumable/x");
    request.timeout = 10s;
    cr_assert(fixture.forward(request).has_value());
    cr_assert_eq(fixture.sink.body, firstEvent + secondEvent);
    cr_assert_eq(fixture.scripted.finished, 1);
}

// A runner that accepts the request without an output takes over before both work on it for long (TWICE: 400 ms).
Test(SilentRunner, cancelsASilentRunnerSoonAfterAnotherWasAsked)
{
    GatewayFixture fixture;
    auto silent = streamOf({ firstEvent, secondEvent });
    silent.partInterval = 5s;
    auto next = streamOf({ firstEvent, secondEvent });
    next.headSilence = 1s;
    fixture.scripted.script = { silent, next };
    auto request = fixture.makeRequest("/resumable/x");
    request.timeout = 10s;
    cr_assert(fixture.forward(request).has_value());
    cr_assert_eq(fixture.sink.body, firstEvent + secondEvent);
    cr_assert_eq(fixture.scripted.arrivals.size(), 2);
    cr_assert(fixture.scripted.timeouts[1] < 400ms);
    cr_assert_eq(fixture.scripted.cancelled, 1);
    cr_assert_eq(fixture.scripted.finished, 1);
}

// Guards against a silent runner that goes on working for a caller who left while another runner was asked.
Test(SilentRunner, cancelsBothRunnersWhenTheCallerLeaves)
{
    GatewayFixture fixture;
    auto silent = streamOf({ firstEvent, secondEvent });
    silent.partInterval = 5s;
    auto next = streamOf({ secondEvent });
    next.beginError = Error { ErrorCode::ConnectionLost, "cancelled", RunState::Unknown };
    next.onArrival = [&] { fixture.sink.stop(ErrorCode::Cancelled); };
    fixture.scripted.script = { silent, next };
    const auto result = fixture.forward(fixture.makeRequest("/resumable/x"));
    cr_assert(!result && result.error().code == ErrorCode::Cancelled);
    cr_assert_geq(fixture.scripted.cancelled, 2);
    for (const auto* runner : { "r1", "r2", "r3" }) {
        cr_assert_eq(fixture.runners.requestsAt(UpstreamId(runner)), 0);
    }
}

// Guards against taking a stream that its runner ends at the deadline for one that the runner broke off: it was resumed
// for its last milliseconds, and a few of them excluded the runner.
Test(ForwardDispatcher, blamesNoRunnerForAStreamThatLastsUntilTheDeadline)
{
    for (const auto* path : { "/stream/x", "/resumable/x" }) {
        GatewayFixture fixture;
        for (unsigned n = 0; n < 9; ++n) {
            auto stream
                = streamOf({ "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "id: 4\ndata: d\n\n" });
            stream.partInterval = 998ms;
            stream.endError = Error { ErrorCode::ConnectionLost, "closed", RunState::Unknown };
            fixture.scripted.script = { stream };
            auto request = fixture.makeRequest(path);
            request.timeout = 5000ms;
            const auto result = fixture.forward(request);
            cr_assert(!result && result.error().code == ErrorCode::DeadlineExceeded, "%s", path);
            cr_assert_eq(fixture.scripted.arrivals.size(), n + 1);
        }
        cr_assert_eq(fixture.runners.candidates(ServiceId("app"), "").size(), 3);
    }
}

// Guards against cancelling a silent runner for another one that has not even read the request: both pause together,
// and the first one would have gone on.
Test(SilentRunner, keepsAnAnswerWhoseNextRunnerDoesNotRead)
{
    GatewayFixture fixture;
    auto silent = streamOf({ firstEvent, secondEvent });
    silent.partInterval = 1900ms;
    auto unread = streamOf({ secondEvent });
    unread.isUnread = true;
    unread.headSilence = 60s;
    fixture.scripted.script = { silent, unread, unread };
    auto request = fixture.makeRequest("/resumable/x");
    request.timeout = 10s;
    const auto result = fixture.forward(request);
    cr_assert(result.has_value(), "%s", result ? "" : result.error().message.c_str());
    cr_assert_eq(fixture.sink.body, firstEvent + secondEvent);
}
