#include "Gateway/GatewayFixture.h"

#include <random>
#include <set>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const std::array<std::string, 3> organisationIds { "north", "south", "east" };
constexpr unsigned walkLength = 400;

/// What a configuration says of an organisation.
enum class Standing {
    Absent,
    Sharing,
    Isolated,
};

using Standings = std::array<Standing, organisationIds.size()>;

/// A dispatcher with organisations whose isolation changes, and the organisations that made the entries of each salt.
struct IsolationFixture : GatewayFixture {
    IsolationFixture()
    {
        auto configuration = *routing.current();
        configuration.routes = { makeRoute("/stream/", RequestKind::Streaming, 2) };
        configuration.routes.push_back(makeRoute("/public/", RequestKind::Streaming, 2));
        configuration.routes.back().isPublic = true;
        routing.adopt(withNextVersion(configuration));
    }

    RoutingConfiguration withNextVersion(RoutingConfiguration configuration)
    {
        configuration.version = routing.current()->version + 1;
        return configuration;
    }

    void adopt(const Standings& standings)
    {
        auto configuration = withNextVersion(*routing.current());
        configuration.organisations.clear();
        for (std::size_t n = 0; n < standings.size(); ++n) {
            if (standings[n] != Standing::Absent) {
                auto organisation = makeOrganisation(organisationIds[n], 0);
                organisation.isIsolated = standings[n] == Standing::Isolated;
                configuration.organisations.push_back(organisation);
            }
        }
        routing.adopt(configuration);
    }

    ForwardRequest promptOf(const std::string& organisation, const std::string& path = "/stream/x")
    {
        auto request = makeRequest(path);
        request.model = "model";
        request.keyDigest = sha256("key-of-" + organisation);
        request.parts = { { 1, 2500 }, { 2, 900 } };
        return request;
    }

    /// Sends a request to its end.
    /// @return The salt of its cache entries.
    std::string saltOf(const ForwardRequest& request)
    {
        scripted.script.push_back({ .isEventStream = true, .parts = { "id: 1\ndata: a\n\n" } });
        cr_assert(forward(request).has_value());
        return scripted.arrivals.back().terms.cacheSalt;
    }

    std::map<std::string, std::set<std::string>> makers;
};

ScriptedAttempt answer() { return { .isEventStream = true, .parts = { "id: 1\ndata: a\n\n" } }; }

} // namespace

// Guards against cache entries that an organisation shared with others before it became isolated, in any order of
// changes: the salt of the others stayed the same.
Test(CacheIsolation, sharesNoEntriesWithAnIsolatedOrganisationAfterAnyChanges)
{
    std::mt19937 random(4);
    IsolationFixture fixture;
    for (unsigned step = 0; step < walkLength; ++step) {
        Standings standings {};
        for (auto& it : standings) {
            it = static_cast<Standing>(random() % 3);
        }
        fixture.adopt(standings);
        std::set<std::string> isolated;
        for (std::size_t n = 0; n < standings.size(); ++n) {
            if (standings[n] == Standing::Isolated) {
                isolated.insert(organisationIds[n]);
            }
        }
        const auto use = [&](const std::string& user, const ForwardRequest& request) {
            auto& makers = fixture.makers[fixture.saltOf(request)];
            for (const auto& maker : makers) {
                cr_assert(maker == user || (!isolated.contains(maker) && !isolated.contains(user)),
                    "step %u: %s uses what %s made", step, user.c_str(), maker.c_str());
            }
            makers.insert(user);
        };
        for (std::size_t n = 0; n < standings.size(); ++n) {
            if (standings[n] != Standing::Absent) {
                use(organisationIds[n], fixture.promptOf(organisationIds[n]));
            }
        }
        auto anonymous = fixture.promptOf("nobody", "/public/x");
        anonymous.keyDigest.reset();
        use("nobody", anonymous);
    }
}

// Guards against needless misses: an organisation that is not isolated comes and goes without a new salt for the
// others, and VMs that learned the configurations in another order agree.
Test(CacheIsolation, keepsTheSaltWhileTheIsolatedOrganisationsAreTheSame)
{
    IsolationFixture fixture;
    fixture.adopt({ Standing::Sharing, Standing::Absent, Standing::Isolated });
    const auto salt = fixture.saltOf(fixture.promptOf("north"));
    fixture.adopt({ Standing::Sharing, Standing::Sharing, Standing::Isolated });
    cr_assert_eq(fixture.saltOf(fixture.promptOf("north")), salt);
    cr_assert_eq(fixture.saltOf(fixture.promptOf("south")), salt);
    IsolationFixture late;
    late.adopt({ Standing::Sharing, Standing::Sharing, Standing::Isolated });
    cr_assert_eq(late.saltOf(late.promptOf("south")), salt);
    cr_assert_eq(late.saltOf(late.promptOf("east")), fixture.saltOf(fixture.promptOf("east")));
}

// Guards against an isolated organisation whose id is the salt of others.
Test(CacheIsolation, keepsIdsApartFromSharedSalts)
{
    IsolationFixture fixture;
    fixture.adopt({ Standing::Sharing, Standing::Absent, Standing::Absent });
    const auto salt = fixture.saltOf(fixture.promptOf("north"));
    const auto name = salt.substr(salt.find('/') + 1);
    auto configuration = fixture.withNextVersion(*fixture.routing.current());
    configuration.organisations.push_back(makeOrganisation(name, 0));
    configuration.organisations.back().isIsolated = true;
    fixture.routing.adopt(configuration);
    cr_assert_neq(fixture.saltOf(fixture.promptOf(name)), salt);
    cr_assert_neq(fixture.saltOf(fixture.promptOf("north")), salt);
}

// Guards against the salt of the configuration under which a request was admitted: while it waits for its connection or
// is sent again, another organisation may become isolated.
Test(CacheIsolation, usesTheSaltOfTheConfigurationInForceWhenTheRequestIsSent)
{
    const Standings before { Standing::Sharing, Standing::Sharing, Standing::Absent };
    const Standings after { Standing::Isolated, Standing::Sharing, Standing::Absent };
    IsolationFixture fresh;
    fresh.adopt(after);
    const auto expected = fresh.saltOf(fresh.promptOf("south"));
    {
        IsolationFixture fixture;
        fixture.adopt(before);
        fixture.scripted.script = { { .onConnect = [&] { fixture.adopt(after); } }, answer() };
        cr_assert(fixture.forward(fixture.promptOf("south")).has_value());
        cr_assert_eq(fixture.scripted.sent.size(), 1, "the request was sent with the earlier salt");
        cr_assert_eq(fixture.scripted.arrivals.back().terms.cacheSalt, expected);
    }
    {
        IsolationFixture fixture;
        fixture.adopt(before);
        fixture.scripted.script
            = { { .kind = ReplyKind::NotRun, .status = 503, .onArrival = [&] { fixture.adopt(after); } }, answer() };
        cr_assert(fixture.forward(fixture.promptOf("south")).has_value());
        cr_assert_eq(fixture.scripted.arrivals.back().terms.cacheSalt, expected);
    }
    {
        // The organisation of the request is withdrawn: it shares with nobody.
        IsolationFixture fixture;
        fixture.adopt(before);
        const auto shared = fixture.saltOf(fixture.promptOf("south"));
        fixture.scripted.script
            = { { .kind = ReplyKind::NotRun,
                    .status = 503,
                    .onArrival = [&] { fixture.adopt({ Standing::Sharing, Standing::Absent, Standing::Absent }); } },
                  answer() };
        cr_assert(fixture.forward(fixture.promptOf("south")).has_value());
        cr_assert_neq(fixture.scripted.arrivals.back().terms.cacheSalt, shared);
    }
}
