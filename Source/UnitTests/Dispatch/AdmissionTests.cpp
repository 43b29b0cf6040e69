#include "Common/Sleep.h"
#include "Support/ServingFixture.h"

#include <random>

using namespace Pollenwind;

namespace {

QueuedRequest request(const std::string& organisation, int n, double tokens = 100, double weight = 1)
{
    return { RequestId(organisation + std::to_string(n)), OrganisationId(organisation), weight, tokens };
}

} // namespace

// Guards against an organisation that floods the queue, e.g. at five times its rate, and delays other organisations.
Test(FairQueue, aFloodDoesNotDelayOthers)
{
    FairQueue queue(1000);
    for (int n = 0; n < 500; ++n) {
        cr_assert(!queue.push(request("flood", n)));
    }
    for (int n = 0; n < 50; ++n) {
        queue.pop();
    }
    queue.push(request("a", 0));
    queue.push(request("b", 0));
    std::set<std::string> next;
    for (int n = 0; n < 3; ++n) {
        next.insert(queue.pop()->value());
    }
    cr_assert(next.contains("a0") && next.contains("b0"));
}

// Guards against shares that count requests instead of tokens, and against ignored weights.
Test(FairQueue, sharesTokensByWeight)
{
    std::mt19937 random(7);
    FairQueue queue(100'000);
    std::map<std::string, double> tokensOf;
    std::map<std::string, double> served;
    for (int n = 0; n < 6000; ++n) {
        const double small = 50 + static_cast<double>(random() % 100);
        for (const auto& [organisation, tokens, weight] :
            { std::tuple { "small", small, 1.0 }, { "large", small * 8, 1.0 }, { "heavy", small, 3.0 } }) {
            const auto it = request(organisation, n, tokens, weight);
            tokensOf[it.id.value()] = tokens;
            queue.push(it);
        }
    }
    for (int n = 0; n < 4000; ++n) {
        const auto id = queue.pop()->value();
        served[id.substr(0, 5)] += tokensOf[id];
    }
    cr_assert_float_eq(served["large"] / served["small"], 1, 0.02);
    cr_assert_float_eq(served["heavy"] / served["small"], 3, 0.06);
}

// Guards against shedding requests of an organisation within its share, and against shedding old requests before new
// ones.
Test(FairQueue, shedsTheNewestOfTheLargestBacklog)
{
    FairQueue queue(10);
    for (int n = 0; n < 10; ++n) {
        cr_assert(!queue.push(request("flood", n)));
    }
    cr_assert(queue.push(request("a", 0)) == RequestId("flood9"));
    cr_assert(queue.push(request("flood", 10)) == RequestId("flood10"));
    cr_assert(queue.push(request("b", 0)) == RequestId("flood8"));
    queue.erase(RequestId("flood3"));
    cr_assert_eq(queue.size(), 9);
    cr_assert(!queue.push(request("a", 1)));
}

// Guards against an idle organisation that accumulates credit and uses it for a burst.
Test(FairQueue, idleTimeGivesNoCredit)
{
    FairQueue queue(1000);
    for (int n = 0; n < 100; ++n) {
        queue.push(request("busy", n));
        queue.pop();
    }
    for (int n = 0; n < 10; ++n) {
        queue.push(request("busy", 100 + n));
        queue.push(request("idle", n));
    }
    int idle = 0;
    for (int n = 0; n < 10; ++n) {
        idle += queue.pop()->value().starts_with("idle") ? 1 : 0;
    }
    cr_assert(idle >= 4 && idle <= 6, "%d", idle);
}

// Guards against a limit that does not decrease when first tokens are slow, or does not increase again afterwards.
Test(ConcurrencyLimit, followsTheFirstTokenLatency)
{
    ManualClock clock;
    ConcurrencyLimit limit(clock);
    const double start = limit.value();
    const auto feed = [&](std::chrono::milliseconds latency, bool isFull) {
        for (int n = 0; n < 200; ++n) {
            clock.advance(std::chrono::milliseconds(50));
            limit.recordFirstToken(latency, isFull);
        }
    };
    feed(std::chrono::milliseconds(50), false);
    cr_assert_eq(limit.value(), start);
    feed(std::chrono::milliseconds(2000), true);
    const double low = limit.value();
    cr_assert_lt(low, start / 2);
    feed(std::chrono::milliseconds(50), true);
    cr_assert_gt(limit.value(), low * 2);
}

// Guards against a refusal without RunState::NotRun, a cancelled request that stays queued, and capacity that is lost
// when a request leaves.
Test(AdmissionQueue, refusesWaitsAndReleasesCapacity)
{
    ServingFixture fixture({ .engines = 1 });
    auto& router = fixture.addRouter();
    AdmissionQueue queue(router.clock, router.upstreams, router.metrics, { 2, std::chrono::milliseconds(200) });
    const ServiceId service("fitter");
    const auto ask = [&](const std::string& organisation, int n) {
        return AdmissionRequest { service, VersionId("v1"), request(organisation, n),
            router.clock.now() + std::chrono::hours(1) };
    };
    std::map<std::string, ErrorCode> refused;
    std::set<std::string> admitted;
    const auto enter = [&](AdmissionRequest it) -> Task<> {
        const auto result = co_await queue.enter(it);
        if (result) {
            admitted.insert(it.queued.id.value());
        } else {
            cr_assert(result.error().runState == RunState::NotRun);
            refused[it.queued.id.value()] = result.error().code;
        }
    };
    fixture.run([&]() -> Task<> {
        const auto executor = co_await asio::this_coro::executor;
        for (int n = 0; n < 32; ++n) {
            cr_assert(co_await queue.enter(ask("running", n)));
        }
        for (int n = 0; n < 3; ++n) {
            asio::co_spawn(executor, enter(ask("flood", n)), asio::detached);
        }
        asio::co_spawn(executor, enter(ask("a", 0)), asio::detached);
        co_await sleepFor(std::chrono::milliseconds(1));
        cr_assert(refused["flood2"] == ErrorCode::Overloaded && refused["flood1"] == ErrorCode::Overloaded);
        queue.cancel(service, RequestId("flood0"));
        queue.leave(service);
        co_await sleepFor(std::chrono::milliseconds(1));
        cr_assert(refused["flood0"] == ErrorCode::Cancelled && admitted.contains("a0"));
        // All capacity is in use, so this request waits until its time limit.
        co_await enter(ask("b", 0));
        cr_assert(refused["b0"] == ErrorCode::Overloaded);
    });
    cr_assert_eq(router.metrics.total(Counter::QueueShed), 3);
}
