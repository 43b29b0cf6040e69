#include "Gateway/TimedRunners.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";

ScriptedAttempt answerAfter(std::chrono::milliseconds silence, std::string body, int status = 200)
{
    ScriptedAttempt attempt;
    attempt.headSilence = silence;
    attempt.parts = { std::move(body) };
    attempt.status = status;
    return attempt;
}

ScriptedAttempt streamAfter(std::chrono::milliseconds silence, std::vector<std::string> events)
{
    ScriptedAttempt attempt;
    attempt.isEventStream = true;
    attempt.headSilence = silence;
    attempt.parts = std::move(events);
    return attempt;
}

ScriptedAttempt errorAfter(std::chrono::milliseconds silence, Error error)
{
    ScriptedAttempt attempt;
    attempt.headSilence = silence;
    attempt.beginError = std::move(error);
    return attempt;
}

const Error lost { ErrorCode::ConnectionLost, "reset", RunState::Unknown };

ScriptedAttempt refusalAfter(std::chrono::milliseconds silence)
{
    auto attempt = answerAfter(silence, "", 503);
    attempt.kind = ReplyKind::NotRun;
    return attempt;
}

/// A dispatcher that copies slow requests: their routes have an objective of one second, and most answers take 10 ms,
/// so a copy is sent after 500 ms.
struct HedgeFixture : GatewayFixture {
    explicit HedgeFixture(double share = 0.2, std::set<std::string> streams = { "/resumable/" })
        : hedging({ clock, routing, freshness, runners, runners, policy, directory, quota, retryBudget, timed, metrics,
              log, quarantine, quarantine, crashes, rollouts, rollouts, LoadSettings {}.yieldRanks, nullptr, {}, share,
              std::move(streams) })
    {
        learn();
    }

    /// Serves fast requests, as many as a delay is learnt from.
    void learn()
    {
        for (unsigned n = 0; n < 60; ++n) {
            timed.script = { answerAfter(10ms, "fast"), streamAfter(10ms, { firstEvent }) };
            cr_assert(serve("/safe/x").has_value());
            cr_assert(serve("/resumable/x").has_value());
        }
        timed.attempts.clear();
    }

    Outcome<void> serve(const std::string& path) { return serve(makeRequest(path)); }

    Outcome<void> serve(const ForwardRequest& request)
    {
        sink.status = 0;
        sink.body.clear();
        sink.isComplete = false;
        return timed.run(hedging.forward(request, clock.now(), sink));
    }

    /// Fails the test if a runner still has a request, or if one was neither read to its end nor cancelled.
    void expectNothingRunning(const char* name) const
    {
        for (const auto* runner : { "r1", "r2", "r3" }) {
            cr_assert_eq(runners.requestsAt(UpstreamId(runner)), 0, "%s", name);
        }
        for (const auto& it : timed.attempts) {
            cr_assert(it.isFinished || it.cancelledAt, "%s: an attempt goes on", name);
        }
        cr_assert_eq(metrics.total(Counter::HedgesSent),
            metrics.total(Counter::HedgesWon) + metrics.total(Counter::HedgesLost), "%s", name);
    }

    std::uint64_t hedges() const { return metrics.total(Counter::HedgesSent); }

    TimedRunners timed { context, clock };
    ForwardDispatcher hedging;
};

} // namespace

// The faster of two attempts is delivered alone, and the other one is cancelled at once. An attempt that is refused,
// fails or answers with an error does not end the other.
Test(Hedge, deliversTheFirstSuccessAlone)
{
    struct Case {
        const char* name;
        ScriptedAttempt first;
        ScriptedAttempt copy;
        const char* body;
        std::chrono::milliseconds end;
    };
    auto slowBody = answerAfter(100ms, "copy");
    slowBody.partInterval = 100ms;
    auto cutBody = answerAfter(10ms, "part");
    cutBody.endError = lost;
    const std::array cases {
        Case { "the copy is faster", answerAfter(2500ms, "first"), answerAfter(20ms, "copy"), "copy", 520ms },
        Case { "the first is faster", answerAfter(600ms, "first"), answerAfter(2500ms, "copy"), "first", 600ms },
        Case { "a head without its body is no answer", answerAfter(750ms, "first"), slowBody, "first", 750ms },
        Case { "the copy is refused", answerAfter(900ms, "first"), refusalAfter(1ms), "first", 900ms },
        Case { "the copy cannot connect", answerAfter(900ms, "first"),
            errorAfter(1ms, { ErrorCode::ConnectFailed, "refused", RunState::NotRun }), "first", 900ms },
        Case { "the copy is lost", answerAfter(900ms, "first"), errorAfter(5ms, lost), "first", 900ms },
        Case { "the copy is cut", answerAfter(900ms, "first"), cutBody, "first", 900ms },
        Case { "the copy answers with an error", answerAfter(900ms, "first"), answerAfter(5ms, "why", 500), "first",
            900ms },
        Case { "the first is lost", errorAfter(600ms, lost), answerAfter(800ms, "copy"), "copy", 1300ms },
        Case { "the first is refused late", refusalAfter(600ms), answerAfter(800ms, "copy"), "copy", 1300ms },
        Case { "the first answers with an error", answerAfter(600ms, "why", 500), answerAfter(800ms, "copy"), "copy",
            1300ms },
        Case { "the first does not know the path", answerAfter(600ms, "why", 404), answerAfter(800ms, "copy"), "copy",
            1300ms },
    };
    for (const auto& it : cases) {
        HedgeFixture fixture;
        fixture.timed.script = { it.first, it.copy };
        const auto begunAt = fixture.clock.now();
        const auto result = fixture.serve("/safe/x");
        cr_assert(result.has_value(), "%s: %s", it.name, result ? "" : result.error().message.c_str());
        cr_assert(fixture.sink.isComplete && fixture.sink.status == 200, "%s: %d", it.name, fixture.sink.status);
        cr_assert_eq(fixture.sink.body, it.body, "%s: %s", it.name, fixture.sink.body.c_str());
        cr_assert_eq((fixture.clock.now() - begunAt) / 1ms, it.end.count(), "%s", it.name);
        cr_assert_eq(fixture.timed.attempts.size(), 2, "%s", it.name);
        cr_assert(fixture.timed.attempts.front().endpoint != fixture.timed.attempts.back().endpoint, "%s", it.name);
        cr_assert_eq(fixture.hedges(), 1, "%s", it.name);
        cr_assert_eq(fixture.metrics.total(Counter::HedgesWon), it.body == std::string("copy") ? 1 : 0, "%s", it.name);
        fixture.expectNothingRunning(it.name);
    }
}

// Guards against losing the runner's own error when both attempts fail, against a third attempt, and against reporting
// a request as not run that may have run.
Test(Hedge, reportsTheErrorWhenBothFail)
{
    struct Case {
        const char* name;
        ScriptedAttempt first;
        ScriptedAttempt copy;
        /// Status that is passed on; 0 for none.
        int status;
    };
    const std::array cases {
        Case { "both are lost", errorAfter(600ms, lost), errorAfter(200ms, lost), 0 },
        Case { "the copy is lost first", errorAfter(900ms, lost), errorAfter(5ms, lost), 0 },
        Case { "an error and a loss", answerAfter(600ms, "why", 500), errorAfter(200ms, lost), 500 },
        Case { "a loss and an error", errorAfter(600ms, lost), answerAfter(200ms, "why", 500), 500 },
        Case { "an unknown path and a loss", answerAfter(600ms, "why", 404), errorAfter(200ms, lost), 404 },
        Case { "two unknown paths", answerAfter(900ms, "why", 404), answerAfter(5ms, "why", 404), 404 },
    };
    for (const auto& it : cases) {
        HedgeFixture fixture;
        fixture.timed.script = { it.first, it.copy };
        const auto result = fixture.serve("/safe/x");
        cr_assert_eq(result.has_value(), it.status != 0, "%s", it.name);
        cr_assert_eq(fixture.sink.status, it.status, "%s: %d", it.name, fixture.sink.status);
        cr_assert(result || result.error().runState != RunState::NotRun, "%s", it.name);
        cr_assert_eq(fixture.timed.attempts.size(), 2, "%s", it.name);
        fixture.expectNothingRunning(it.name);
    }
}

// A request whose attempts are all refused has not run, also if one of them was a copy.
Test(Hedge, reportsARequestThatBothRefusedAsNotRun)
{
    HedgeFixture fixture;
    fixture.timed.script
        = { refusalAfter(600ms), refusalAfter(5ms), refusalAfter(5ms), refusalAfter(5ms), refusalAfter(5ms) };
    const auto result = fixture.serve("/safe/x");
    cr_assert(!result && result.error().runState == RunState::NotRun);
    cr_assert_eq(fixture.hedges(), 1);
    fixture.expectNothingRunning("refused");
}

// Guards against copies of requests that must run at most once, that were not asked for, or whose answer has begun.
Test(Hedge, copiesOnlyWhatMayBeRepeated)
{
    struct Case {
        const char* path;
        double share;
        std::set<std::string> streams;
        bool isCopied;
    };
    for (const auto& it :
        { Case { "/safe/x", 0.2, {}, true }, Case { "/safe/x", 0, {}, false }, Case { "/safe/x", -1, {}, false },
            Case { "/unsafe/x", 0.2, { "/unsafe/" }, false }, Case { "/stream/x", 0.2, { "/stream/" }, false },
            Case { "/resumable/x", 0.2, {}, false }, Case { "/resumable/x", 0, { "/resumable/" }, false },
            Case { "/resumable/x", 0.2, { "/resumable/" }, true } }) {
        HedgeFixture fixture(it.share, it.streams);
        const bool isStream = std::string_view(it.path).find("safe") == std::string_view::npos;
        const auto slow = isStream ? streamAfter(1400ms, { firstEvent }) : answerAfter(1400ms, "slow");
        const auto fast = isStream ? streamAfter(10ms, { firstEvent }) : answerAfter(10ms, "fast");
        fixture.timed.script = { slow };
        if (it.isCopied) {
            fixture.timed.script.push_back(fast);
        }
        cr_assert(fixture.serve(it.path).has_value(), "%s", it.path);
        cr_assert_eq(fixture.timed.attempts.size(), it.isCopied ? 2 : 1, "%s, share %f", it.path, it.share);
        cr_assert_eq(fixture.hedges(), it.isCopied ? 1 : 0);
        fixture.expectNothingRunning(it.path);
    }
    HedgeFixture fixture;
    auto paused = streamAfter(0ms, { firstEvent, secondEvent });
    paused.partInterval = 490ms;
    fixture.timed.script = { paused };
    cr_assert(fixture.serve("/resumable/x").has_value());
    cr_assert_eq(fixture.hedges(), 0, "a stream was copied after its first event");
}

// Guards against a copy beyond what limits it: each reason prevents it, and the request is served by its first runner.
Test(Hedge, sendsNoCopyBeyondItsLimits)
{
    struct Case {
        Counter reason;
        std::function<void(HedgeFixture&)> prepare;
    };
    const std::array<Case, 7> cases { {
        { Counter::HedgesSuppressedAttempts,
            [](HedgeFixture& fixture) {
                auto configuration = *fixture.routing.current();
                configuration.version = 2;
                for (auto& route : configuration.routes) {
                    route.maxAttempts = 1;
                }
                fixture.routing.adopt(configuration);
            } },
        { Counter::HedgesSuppressedBudget,
            [](HedgeFixture& fixture) {
                while (fixture.retryBudget.tryTake(ServiceId("app"))) { }
            } },
        { Counter::HedgesSuppressedQuarantine,
            [](HedgeFixture& fixture) {
                const PartId part = 1;
                fixture.quarantine.recordCrash("r9", 1, std::array { part });
            } },
        { Counter::HedgesSuppressedRunners,
            [](HedgeFixture& fixture) {
                fixture.runners.replaceEntries({});
                fixture.runners.updateEntry(makeRunner("r1"));
            } },
        { Counter::HedgesSuppressedLoad,
            [](HedgeFixture& fixture) {
                for (const auto* runner : { "r1", "r2", "r3" }) {
                    for (unsigned n = 0; n < 7; ++n) {
                        fixture.runners.recordSent(UpstreamId(runner), 0);
                    }
                }
            } },
        { Counter::HedgesSuppressedRejections,
            [](HedgeFixture& fixture) {
                fixture.timed.script = { refusalAfter(1ms), answerAfter(1ms, "fast") };
                cr_assert(fixture.serve("/safe/x").has_value());
                // Longer than a runner is avoided after a refusal.
                fixture.clock.advance(300ms);
            } },
        { Counter::HedgesSuppressedShare,
            [](HedgeFixture& fixture) {
                while (fixture.metrics.total(Counter::HedgesSuppressedShare) == 0) {
                    fixture.timed.script = { answerAfter(700ms, "first"), answerAfter(900ms, "copy") };
                    cr_assert(fixture.serve("/safe/x").has_value());
                    cr_assert_leq(fixture.hedges(), 4, "more copies than their share");
                }
            } },
    } };
    for (const auto& it : cases) {
        HedgeFixture fixture;
        it.prepare(fixture);
        const auto sent = fixture.hedges();
        const auto suppressed = fixture.metrics.total(it.reason);
        fixture.timed.attempts.clear();
        fixture.timed.script = { answerAfter(620ms, "first") };
        auto request = fixture.makeRequest("/safe/x");
        request.parts = { { 1, 10 }, { 2, 10 } };
        const std::string name(nameOf(it.reason));
        cr_assert(fixture.serve(request).has_value(), "%s", name.c_str());
        cr_assert_eq(fixture.sink.body, "first", "%s", name.c_str());
        cr_assert_eq(fixture.hedges(), sent, "%s", name.c_str());
        cr_assert_eq(fixture.metrics.total(it.reason), suppressed + 1, "%s", name.c_str());
    }
}

// Guards against a request that tests a quarantined part and is sent to two runners, which it may crash.
Test(Hedge, copiesNoTrialOfAQuarantinedPart)
{
    HedgeFixture fixture;
    const PartId part = 1;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        fixture.quarantine.recordCrash("r9", crash, std::array { part });
    }
    cr_assert(fixture.quarantine.findQuarantined(std::array { part }).has_value());
    fixture.clock.advance(25s);
    fixture.learn();
    fixture.timed.script = { answerAfter(700ms, "first") };
    auto request = fixture.makeRequest("/safe/x");
    request.parts = { { part, 10 }, { 2, 10 } };
    cr_assert(fixture.serve(request).has_value());
    cr_assert_eq(fixture.timed.attempts.size(), 1);
}

// Guards against a runner that goes on working for a caller who has left, in each state of a copy.
Test(Hedge, cancelsBothAttemptsWhenTheCallerLeaves)
{
    for (const bool isConnecting : { false, true }) {
        HedgeFixture fixture;
        auto copy = answerAfter(2000ms, "copy");
        (isConnecting ? copy.onConnect : copy.onArrival) = [&fixture] { fixture.sink.stop(ErrorCode::Cancelled); };
        fixture.timed.script = { answerAfter(2500ms, "first"), copy };
        const auto result = fixture.serve("/safe/x");
        cr_assert(!result && result.error().code == ErrorCode::Cancelled);
        cr_assert(!fixture.sink.isComplete);
        fixture.expectNothingRunning("the caller left");
    }
}

// Two runners work on a stream for less than 400 ms. If none of them has begun by then the first one goes on, and its
// events are delivered once.
Test(Hedge, endsTheCopyOfAStreamSoon)
{
    struct Case {
        const char* name;
        ScriptedAttempt first;
        ScriptedAttempt copy;
        bool isCopyCancelled;
    };
    auto slowEvents = streamAfter(10ms, { firstEvent, secondEvent });
    slowEvents.partInterval = 650ms;
    const std::array cases {
        Case { "the copy begins", streamAfter(1400ms, { firstEvent, secondEvent }),
            streamAfter(100ms, { firstEvent, secondEvent }), false },
        Case { "the first begins", streamAfter(600ms, { firstEvent, secondEvent }),
            streamAfter(2000ms, { firstEvent, secondEvent }), true },
        Case { "the first begins after its head", slowEvents, streamAfter(2000ms, { firstEvent, secondEvent }), true },
        Case { "none begins in time", streamAfter(1400ms, { firstEvent, secondEvent }),
            streamAfter(2000ms, { firstEvent, secondEvent }), true },
        Case { "the copy is refused", streamAfter(1400ms, { firstEvent, secondEvent }), refusalAfter(1ms), true },
        Case { "the first is lost", errorAfter(600ms, lost), streamAfter(600ms, { firstEvent, secondEvent }), false },
        Case { "the copy begins in part", streamAfter(600ms, { firstEvent, secondEvent }),
            streamAfter(10ms, { "id: 1\nda" }), true },
    };
    for (const auto& it : cases) {
        HedgeFixture fixture;
        fixture.timed.script = { it.first, it.copy };
        if (std::string_view(it.name) == "the copy begins in part") {
            fixture.timed.script.back().partInterval = 100ms;
        }
        const auto result = fixture.serve("/resumable/x");
        cr_assert(result.has_value(), "%s: %s", it.name, result ? "" : result.error().message.c_str());
        cr_assert_eq(fixture.sink.body, firstEvent + secondEvent, "%s: %s", it.name, fixture.sink.body.c_str());
        cr_assert(fixture.sink.isComplete, "%s", it.name);
        cr_assert_eq(fixture.hedges(), 1, "%s", it.name);
        cr_assert_eq(fixture.timed.attempts.size(), 2, "%s", it.name);
        const auto& first = fixture.timed.attempts.front();
        const auto& copy = fixture.timed.attempts.back();
        cr_assert_eq(copy.cancelledAt.has_value(), it.isCopyCancelled, "%s", it.name);
        cr_assert_eq(first.cancelledAt.has_value(), !it.isCopyCancelled, "%s", it.name);
        const auto end = it.isCopyCancelled ? *copy.cancelledAt : *first.cancelledAt;
        cr_assert_lt((end - *copy.sentAt) / 1ms, 400, "%s", it.name);
        fixture.expectNothingRunning(it.name);
    }
}

// Guards against a hedge that takes evidence from a slow runner: its cancelled attempt is no failure, but one that was
// silent as long as without hedging is.
Test(Hedge, blamesNoRunnerThatWasOnlySlower)
{
    HedgeFixture fixture;
    for (unsigned n = 0; n < 12; ++n) {
        for (unsigned i = 0; i < 20; ++i) {
            fixture.timed.script = { answerAfter(10ms, "fast") };
            cr_assert(fixture.serve("/safe/x").has_value());
        }
        fixture.timed.script = { answerAfter(2000ms, "first"), answerAfter(10ms, "copy") };
        cr_assert(fixture.serve("/safe/x").has_value());
        cr_assert_eq(fixture.sink.body, "copy");
    }
    cr_assert_eq(fixture.metrics.total(Counter::HedgesWon), 12);
    cr_assert_eq(fixture.runners.candidates(ServiceId("app"), "").size(), 3);
    for (const auto& it : fixture.runners.candidates(ServiceId("app"), "")) {
        cr_assert(it.admission == 1, "the breaker of %s is not closed", it.id.value().c_str());
    }
}
