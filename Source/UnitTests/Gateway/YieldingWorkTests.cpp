#include "Gateway/FleetReportCodec.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/YieldingRoutes.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

RoutingConfiguration makeConfiguration(unsigned firstPriority, unsigned secondPriority)
{
    RoutingConfiguration configuration;
    configuration.version = 1;
    configuration.routes
        = { makeRoute("/short/", RequestKind::Streaming, 1), makeRoute("/long/", RequestKind::Streaming, 1) };
    configuration.routes[0].priority = firstPriority;
    configuration.routes[1].priority = secondPriority;
    auto& service = configuration.services[ServiceId("app")];
    service.id = ServiceId("app");
    service.engine = EngineProfile {};
    return configuration;
}

bool secondYields(const RoutingConfiguration& configuration, unsigned yieldRanks)
{
    return isYieldingRoute(configuration, configuration.routes[1], ServiceId("app"), yieldRanks);
}

} // namespace

// Deployments whose routes are one rank apart, services without an engine and a switched-off setting must be served as
// before.
Test(YieldingRoutes, needTheConfiguredDistanceAndAnEngine)
{
    cr_assert(secondYields(makeConfiguration(0, 2), 2));
    cr_assert(!secondYields(makeConfiguration(0, 1), 2));
    cr_assert(!secondYields(makeConfiguration(2, 0), 2), "the more urgent route does not yield");
    cr_assert(!secondYields(makeConfiguration(0, 9), 0));
    cr_assert(hasYieldingRoute(makeConfiguration(2, 0), 2));
    cr_assert(!hasYieldingRoute(makeConfiguration(1, 0), 2));
    auto plain = makeConfiguration(0, 2);
    plain.services[ServiceId("app")].engine.reset();
    cr_assert(!hasYieldingRoute(plain, 2));
    auto elsewhere = makeConfiguration(0, 2);
    elsewhere.routes[0].shares = { { ServiceId("other"), 1 } };
    cr_assert(!hasYieldingRoute(elsewhere, 2), "the routes lead to different services");
    elsewhere.routes[0].shares = { { ServiceId("app"), 0 }, { ServiceId("other"), 1 } };
    cr_assert(!hasYieldingRoute(elsewhere, 2), "a share without weight gets no requests");
}

// The admission reads how much of a runner's work is of urgent and of yielding routes. Work that has ended must not
// remain in either.
Test(RunnerTable, countsTheWorkOfUrgentAndYieldingRoutes)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    RunnerTable runners(clock, timeline, {});
    runners.updateEntry(makeRunner("r1"));
    const UpstreamId runner("r1");
    const auto load = [&] { return runners.candidates(ServiceId("app"), "").front().load; };
    runners.recordSent(runner, 100, RouteUrgency::Urgent);
    runners.recordSent(runner, 30, RouteUrgency::Yielding);
    runners.recordSent(runner, 7, RouteUrgency::Yielding);
    runners.setRemoteLoad(VmId("other"), { { runnerHash(runner), { 3, 50, 2, 20 } } });
    cr_assert(load() == (RunnerLoad { 6, 187, 3, 57 }));
    cr_assert(runners.ownLoads().at(runnerHash(runner)) == (RunnerLoad { 3, 137, 1, 37 }));
    runners.recordFirstOutput(runner, 30, RouteUrgency::Yielding);
    cr_assert(load() == (RunnerLoad { 6, 157, 3, 27 }));
    runners.recordEnded(runner, 0, RunnerResult::Succeeded, RouteUrgency::Yielding);
    runners.recordEnded(runner, 7, RunnerResult::Abandoned, RouteUrgency::Yielding);
    runners.recordEnded(runner, 100, RunnerResult::Abandoned, RouteUrgency::Urgent);
    cr_assert(load() == (RunnerLoad { 3, 50, 2, 20 }));
}

// The dispatcher counts a request under the same urgency from its sending to its end.
Test(ForwardDispatcher, countsRequestsOfYieldingRoutes)
{
    GatewayFixture fixture;
    auto configuration = makeConfiguration(0, 2);
    configuration.version = 2;
    configuration.organisations = { makeOrganisation("org", 1'000'000) };
    fixture.routing.adopt(configuration);
    std::map<std::uint64_t, RunnerLoad> loads;
    ScriptedAttempt attempt { .isEventStream = true, .parts = { "id: 1\ndata: x\n\n" } };
    attempt.onArrival = [&] { loads = fixture.runners.ownLoads(); };
    for (const auto* path : { "/long/x", "/short/x" }) {
        fixture.scripted.script = { attempt };
        auto request = fixture.makeRequest(path);
        request.model = "model";
        request.parts = { { 3, 900 } };
        request.tokens = TokenCount { 900, 20 };
        cr_assert(fixture.forward(request));
        const bool isYielding = std::string_view(path) == "/long/x";
        cr_assert(loads.begin()->second == (RunnerLoad { 1, 900, isYielding ? 0U : 1U, isYielding ? 900.0 : 0.0 }));
        cr_assert(fixture.runners.ownLoads().empty());
    }
}

// VMs must hear of yielding work, and reports of earlier versions without it must count as urgent work.
Test(FleetReportCodec, keepsTheWorkOfYieldingRoutes)
{
    FleetReport report;
    report.vm = VmId("vm");
    report.work = { { 4, { 5, 6, 5, 0 } } };
    const auto urgentSize = FleetReportCodec::encode(report).size();
    cr_assert(FleetReportCodec::decode(FleetReportCodec::encode(report))->work == report.work);
    report.work = { { 4, { 5, 6, 3, 2.5 } }, { 7, { 1, 8, 0, 8 } }, { 9, { 2, 0, 2, 0 } } };
    cr_assert(FleetReportCodec::decode(FleetReportCodec::encode(report))->work == report.work);
    report.work = { { 4, { 5, 6, 4, 0 } } };
    cr_assert_eq(FleetReportCodec::encode(report).size(), urgentSize + 16, "only runners with such work are listed");
}
