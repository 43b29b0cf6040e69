#include "Common/Sleep.h"
#include "Support/ServingFixture.h"

#include <criterion/parameterized.h>

using namespace Pollenwind;

namespace {

struct FaultRow {
    EngineFault fault;
    /// Number of engines with the fault.
    std::uint32_t engines;
    std::int64_t value;
};

} // namespace

ParameterizedTestParameters(Streams, survivesEngineFaults)
{
    // Each fault at one engine and at both; with both, the retry meets the fault again.
    static FaultRow rows[] = {
        { EngineFault::Down, 1, 1 },
        { EngineFault::Refuse, 1, 1 },
        { EngineFault::Refuse, 2, 1 },
        { EngineFault::Truncate, 1, 1 },
        { EngineFault::Truncate, 2, 1 },
        { EngineFault::CrossedAnswers, 1, 1 },
        { EngineFault::CrossedAnswers, 2, 1 },
        { EngineFault::CrossedAnswers, 2, 2 },
        { EngineFault::Slow, 2, 5 },
        { EngineFault::LoseEvents, 2, 1 },
    };
    return cr_make_param_array(FaultRow, rows, std::size(rows));
}

// Guards against a lost, duplicated or foreign token when an engine fails before or during a response.
ParameterizedTest(FaultRow* row, Streams, survivesEngineFaults)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    // The prompts are placed differently, so each engine is the first choice of some.
    for (int n = 0; n < 4; ++n) {
        for (std::uint32_t engine = 0; engine < row->engines; ++engine) {
            fixture.engines[engine].setFault(row->fault, row->value);
        }
        CollectingSink sink;
        const auto prompt = "prompt " + std::to_string(n);
        fixture.run([&]() -> Task<> {
            const auto summary = co_await router.completions.run(fixture.completion(prompt, 12), sink);
            cr_assert(summary, "%s", summary ? "" : summary.error().message.c_str());
            cr_assert_eq(summary->completionTokens, 12);
        });
        cr_assert(sink.isOrdered);
        cr_assert(sink.text == expectedText(prompt, 12));
    }
}

ParameterizedTestParameters(Streams, resumesAfterMidStreamFaults)
{
    static FaultRow rows[] = {
        { EngineFault::Down, 1, 1 },
        { EngineFault::SilentStreams, 1, 1 },
        { EngineFault::SilentStreams, 2, 1 },
        { EngineFault::CrossedAnswers, 1, 1 },
        { EngineFault::CrossedAnswers, 2, 1 },
    };
    return cr_make_param_array(FaultRow, rows, std::size(rows));
}

// Guards against a stream that ends, repeats tokens or waits indefinitely when its engine fails after some tokens, once
// and again after the resume.
ParameterizedTest(FaultRow* row, Streams, resumesAfterMidStreamFaults)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    CollectingSink sink;
    sink.onToken = [&](std::uint32_t tokens) {
        if (tokens == 5 || (row->engines == 2 && tokens == 9)) {
            for (auto& engine : fixture.engines) {
                if (row->fault != EngineFault::Down || engine.startedCalls() > 0) {
                    engine.setFault(row->fault, row->value);
                }
            }
        }
    };
    fixture.run([&]() -> Task<> {
        const auto summary = co_await router.completions.run(fixture.completion("prompt", 20), sink);
        cr_assert(summary, "%s", summary ? "" : summary.error().message.c_str());
    });
    cr_assert(sink.isOrdered && sink.text == expectedText("prompt", 20));
    cr_assert_geq(router.metrics.total(Counter::Resumes), row->engines);
}

// Guards against a resume that needs a second engine: a single engine that crashed and restarted is tried again.
Test(Streams, resumesAtTheOnlyEngineAfterACrash)
{
    ServingFixture fixture({ .engines = 1 });
    auto& router = fixture.addRouter();
    CollectingSink sink;
    sink.onToken = [&](std::uint32_t tokens) {
        if (tokens == 5) {
            fixture.engines[0].crash();
        }
    };
    fixture.run([&]() -> Task<> {
        const auto summary = co_await router.completions.run(fixture.completion("prompt", 20), sink);
        cr_assert(summary, "%s", summary ? "" : summary.error().message.c_str());
    });
    cr_assert(sink.text == expectedText("prompt", 20));
}

// Guards against reporting a response as complete that no engine could finish, and against "not run" after tokens were
// sent.
Test(Streams, failsWhenNoEngineIsLeftMidStream)
{
    ServingFixture fixture;
    fixture.options.timeouts.candidateWait = std::chrono::milliseconds(100);
    auto& router = fixture.addRouter();
    CollectingSink sink;
    sink.onToken = [&](std::uint32_t tokens) {
        if (tokens == 5) {
            for (auto& engine : fixture.engines) {
                engine.setFault(EngineFault::Down, 1);
            }
        }
    };
    fixture.run([&]() -> Task<> {
        const auto summary = co_await router.completions.run(fixture.completion("prompt", 20), sink);
        cr_assert(!summary && summary.error().runState == RunState::Unknown);
    });
    cr_assert(sink.isOrdered && sink.text == expectedText("prompt", sink.tokens));
}

// Guards against an unknown run state for a request that every engine refused to start.
Test(Streams, refusedEverywhereIsNotRun)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    for (auto& engine : fixture.engines) {
        engine.setFault(EngineFault::Refuse, 100);
    }
    fixture.run([&]() -> Task<> {
        CollectingSink sink;
        const auto summary = co_await router.completions.run(fixture.completion("prompt", 20), sink);
        cr_assert(!summary && summary.error().runState == RunState::NotRun);
    });
    cr_assert_eq(fixture.engines[0].startedCalls() + fixture.engines[1].startedCalls(), 0);
}

// Guards against a deadline that is applied to each token instead of to the whole request.
Test(Streams, theDeadlineBoundsASlowAnswer)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    for (auto& engine : fixture.engines) {
        engine.setFault(EngineFault::Slow, 1000);
    }
    fixture.run([&]() -> Task<> {
        CollectingSink sink;
        auto request = fixture.completion("prompt", 4000);
        request.deadline = router.clock.now() + std::chrono::milliseconds(700);
        const auto summary = co_await router.completions.run(request, sink);
        cr_assert(!summary && summary.error().code == ErrorCode::DeadlineExceeded);
    });
    // An expired deadline is not a failure of the engine.
    cr_assert_eq(router.metrics.total(Counter::UpstreamFailures), 0);
}

namespace {

enum class StopCause {
    KeyWithdrawn,
    CallerGone,
};

struct StopRow {
    StopCause cause;
    bool isSilent;
};

} // namespace

ParameterizedTestParameters(Streams, endsWhenKeyIsWithdrawnOrCallerIsGone)
{
    static StopRow rows[] = { { StopCause::KeyWithdrawn, false }, { StopCause::KeyWithdrawn, true },
        { StopCause::CallerGone, false }, { StopCause::CallerGone, true } };
    return cr_make_param_array(StopRow, rows, std::size(rows));
}

// Guards against a response that continues after its key was withdrawn or its caller disconnected, also while no token
// arrives.
ParameterizedTest(StopRow* row, Streams, endsWhenKeyIsWithdrawnOrCallerIsGone)
{
    FixtureOptions options;
    options.timeouts.firstToken = std::chrono::hours(1);
    options.timeouts.tokenGap = std::chrono::hours(1);
    options.requestDeadline = std::chrono::hours(1);
    ServingFixture fixture(options);
    auto& router = fixture.addRouter();
    CollectingSink sink;
    sink.onToken = [&](std::uint32_t tokens) {
        if (tokens != 3) {
            return;
        }
        if (row->isSilent) {
            for (auto& engine : fixture.engines) {
                engine.setFault(EngineFault::SilentStreams, 1);
            }
        }
        if (row->cause == StopCause::KeyWithdrawn) {
            router.keys.merge({ sha256(ServingFixture::callerKey), OrganisationId("a"), KeyState::Withdrawn });
        } else {
            sink.isGone = true;
        }
    };
    fixture.run([&]() -> Task<> {
        const auto summary = co_await router.completions.run(fixture.completion("prompt", 4000), sink);
        cr_assert(!summary);
        cr_assert(summary.error().code
            == (row->cause == StopCause::KeyWithdrawn ? ErrorCode::KeyWithdrawn : ErrorCode::Cancelled));
        // The engine detects the closed connection and ends the call.
        for (const auto& status : router.upstreams.status()) {
            for (auto report = co_await router.client.health(status.endpoint, std::chrono::seconds(5));
                report && report->running > 0;
                report = co_await router.client.health(status.endpoint, std::chrono::seconds(5))) {
                co_await sleepFor(std::chrono::milliseconds(10));
            }
        }
    });
    cr_assert_eq(sink.tokens, 3);
}
