#include "Gateway/GatewayFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const RegionId south("south");
const RegionId north("north");
const RegionMap regions { { ZoneId("a"), south }, { ZoneId("b"), north } };

/// Runner r1 in the region south, r2 in the region north and r3 in a zone without a region.
struct HomeFixture : GatewayFixture {
    HomeFixture()
    {
        const std::map<std::string, std::string> zones { { "r1", "a" }, { "r2", "b" }, { "r3", "c" } };
        for (const auto& [id, zone] : zones) {
            auto entry = makeRunner(id);
            entry.zone = ZoneId(zone);
            runners.updateEntry(entry);
        }
    }

    void setHome(std::vector<RegionId> ofRoutes, std::vector<RegionId> ofOrganisation)
    {
        auto configuration = *routing.current();
        ++configuration.version;
        for (auto& route : configuration.routes) {
            route.homeRegions = ofRoutes;
        }
        configuration.organisations.front().homeRegions = std::move(ofOrganisation);
        routing.adopt(configuration);
    }
    Outcome<void> forwardHome(const std::string& path)
    {
        scripted.sent.clear();
        const auto request = makeRequest(path);
        return runTask(context, homeDispatcher.forward(request, clock.now(), sink));
    }
    bool isSentTo(const std::vector<std::string>& ids) const
    {
        std::vector<Endpoint> endpoints;
        for (const auto& id : ids) {
            endpoints.push_back(makeRunner(id).endpoint);
        }
        return scripted.sent == endpoints;
    }

    ForwardDispatcher homeDispatcher { { clock, routing, freshness, runners, runners, policy, directory, quota,
        retryBudget, scripted, metrics, log, quarantine, quarantine, crashes, rollouts, rollouts,
        LoadSettings {}.yieldRanks, nullptr, regions } };
};

} // namespace

// Guards against a request that reaches a runner outside the home regions of its route or its organisation; if both
// have home regions, only common ones are left.
Test(HomeRegions, restrictsRequestsByRouteAndOrganisation)
{
    HomeFixture fixture;
    const std::vector<std::pair<std::vector<RegionId>, std::vector<RegionId>>> rules { { { north }, {} },
        { {}, { north } }, { { north }, { north, south } } };
    for (const auto& [route, organisation] : rules) {
        fixture.setHome(route, organisation);
        fixture.scripted.script = { { .parts = { "body" } } };
        cr_assert(fixture.forwardHome("/unsafe/x").has_value());
        cr_assert(fixture.isSentTo({ "r2" }));
    }
    fixture.setHome({ north }, { south });
    const auto result = fixture.forwardHome("/unsafe/x");
    cr_assert(!result && result.error().code == ErrorCode::Unavailable);
    cr_assert(result.error().runState == RunState::NotRun && result.error().retryAfter);
    cr_assert(fixture.scripted.sent.empty());
}

// Guards against a repeat or a resumed stream that leaves the home regions when their runners fail, and against a
// suspect runner at home that is passed over for a sound one elsewhere.
Test(HomeRegions, appliesToRepeats)
{
    HomeFixture fixture;
    fixture.setHome({ south }, {});
    const Error lost { ErrorCode::ConnectionLost, "reset", RunState::Unknown };
    for (const auto* path : { "/safe/x", "/resumable/x" }) {
        fixture.scripted.script = { { .beginError = lost } };
        cr_assert(!fixture.forwardHome(path));
        cr_assert(fixture.isSentTo({ "r1" }));
    }
    fixture.runners.recordConnectFailure(UpstreamId("r1"));
    fixture.scripted.script = { { .parts = { "body" } } };
    cr_assert(fixture.forwardHome("/unsafe/x").has_value());
    cr_assert(fixture.isSentTo({ "r1" }));
}

// Guards against a request that leaves its home regions since they were set while it waited for its connection.
Test(HomeRegions, appliesAConfigurationThatArrivesBeforeTheRequestIsSent)
{
    HomeFixture fixture;
    fixture.setHome({ north }, {});
    fixture.scripted.script
        = { { .onConnect = [&fixture] { fixture.setHome({ south }, {}); } }, { .parts = { "body" } } };
    cr_assert(!fixture.forwardHome("/unsafe/x"));
    cr_assert(fixture.scripted.sent.empty());
    cr_assert_eq(fixture.metrics.total(Counter::RequestsDiverted), 1);
}

// Guards against any change for requests without home regions, also where no regions are configured, and against a zone
// without a region that counts as home.
Test(HomeRegions, restrictsNothingWithoutHomeRegions)
{
    HomeRegions none;
    cr_assert(none.permits(ZoneId("a")) && !none.isRestricted());
    none.restrictTo({});
    cr_assert(none.permits(ZoneId("a")));
    HomeRegions home(regions);
    const std::vector allowed { south, RegionId() };
    home.restrictTo(allowed);
    cr_assert(home.permits(ZoneId("a")) && !home.permits(ZoneId("b")) && !home.permits(ZoneId("c")));
    HomeRegions withoutMap;
    withoutMap.restrictTo(allowed);
    cr_assert(!withoutMap.permits(ZoneId("a")));
}
