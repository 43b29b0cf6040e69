#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

ScriptedAttempt withoutDescriptor()
{
    return { .beginError = Error { ErrorCode::Overloaded, "connect: Too many open files", RunState::NotRun } };
}

} // namespace

// Guards against taking a shortage of descriptors of this process for a failure of its runners: their breakers opened,
// and other VMs heard that they cannot be reached.
Test(ForwardDispatcher, doesNotBlameRunnersForAShortageOfThisProcess)
{
    constexpr unsigned shortages = 40;
    GatewayFixture fixture;
    for (unsigned n = 0; n < shortages; ++n) {
        fixture.scripted.script
            = { withoutDescriptor(), withoutDescriptor(), withoutDescriptor(), withoutDescriptor() };
        const auto refused = fixture.forward(fixture.makeRequest(n % 2 == 0 ? "/unsafe/x" : "/resumable/x"));
        cr_assert(!refused);
        cr_assert_eq(refused.error().code, ErrorCode::Unavailable);
        cr_assert_eq(refused.error().runState, RunState::NotRun);
        cr_assert(refused.error().retryAfter.has_value());
        cr_assert(fixture.scripted.script.empty(), "%zu attempts were left", fixture.scripted.script.size());
    }
    cr_assert(fixture.runners.recentFailures().unreachable.empty());
    for (const auto* id : { "r1", "r2", "r3" }) {
        cr_assert(fixture.runners.mayStillSend(UpstreamId(id), Incarnation(1)), "%s is avoided", id);
    }
    fixture.scripted.script = { { .parts = { "body" } } };
    cr_assert(fixture.forward(fixture.makeRequest("/unsafe/x")).has_value());
    cr_assert_eq(fixture.sink.body, "body");
}

// Guards against a shortage that ends a request although a kept connection to another runner would serve it, or that
// uses up the retry budget.
Test(ForwardDispatcher, repeatsAtAnotherRunnerAfterAShortage)
{
    GatewayFixture fixture;
    fixture.scripted.script = { withoutDescriptor(), { .parts = { "body" } } };
    cr_assert(fixture.forward(fixture.makeRequest("/safe/x")).has_value());
    cr_assert_eq(fixture.sink.body, "body");
    cr_assert(fixture.scripted.arrivals[0].endpoint != fixture.scripted.arrivals[1].endpoint);
}
