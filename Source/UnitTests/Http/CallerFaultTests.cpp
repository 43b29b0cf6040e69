#include "Common/Sleep.h"
#include "Http/CallerClient.h"

using namespace Pollenwind;

namespace {

std::uint64_t startedCalls(const ServingFixture& fixture)
{
    std::uint64_t n = 0;
    for (const auto& engine : fixture.engines) {
        n += engine.startedCalls();
    }
    return n;
}

} // namespace

// Guards against "[DONE]" after a stream that ended because its key was withdrawn, and against an end without the
// reason.
Test(CallerFaults, aWithdrawnKeyEndsItsStreamWithTheReason)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        const auto view = co_await callRouter(
            router.endpoint, streamRequest("prompt", 4000), [&](const std::string& body) {
                if (body.size() > 1000) {
                    router.keys.merge({ sha256(ServingFixture::callerKey), OrganisationId("a"), KeyState::Withdrawn });
                }
                return true;
            });
        cr_assert(view.status == 200 && !view.isDone && view.code() == "key-withdrawn");
        cr_assert(expectedText("prompt", 4000).starts_with(view.text));
        const auto again = co_await callRouter(router.endpoint, streamRequest("prompt", 10));
        cr_assert(again.status == 401 && again.run() == "not-run");
    });
}

// Guards against an engine that continues to generate for a caller that has disconnected.
Test(CallerFaults, aDisconnectedCallerFreesTheEngine)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        co_await callRouter(
            router.endpoint, streamRequest("prompt", 4000), [](const std::string& body) { return body.size() < 500; });
        while (router.frontEnd.runningRequests() > 0) {
            co_await sleepFor(std::chrono::milliseconds(10));
        }
    });
    cr_assert_eq(router.metrics.total(Counter::CallerDisconnects), 1);
    cr_assert_lt(router.metrics.total(Counter::TokensDelivered), 4000);
    cr_assert_eq(router.metrics.total(Counter::Resumes), 0);
}

// Guards against forwarding a caller's key that also appears in a part of the request that upstreams receive.
Test(CallerFaults, aRepeatedKeyIsRefused)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    const std::string key(ServingFixture::callerKey);
    fixture.run([&]() -> Task<> {
        auto prompt = streamRequest("say " + key, 10);
        auto target = bookingRequest("k");
        target.query = "key=" + key;
        const auto idempotency = bookingRequest(key);
        for (const auto& request : { prompt, target, idempotency }) {
            const auto view = co_await callRouter(router.endpoint, request);
            cr_assert(view.status == 400 && view.run() == "not-run");
            cr_assert(view.body.find(key) == std::string::npos);
        }
    });
    cr_assert_eq(startedCalls(fixture), 0);
    for (const auto& runner : fixture.runners) {
        cr_assert(!runner.hasSeenText(key));
    }
}
