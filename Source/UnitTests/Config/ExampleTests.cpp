#include "Config/Queries/CheckDocument.h"
#include "Config/Settings.h"

#include <criterion/criterion.h>

#include <fstream>
#include <set>
#include <sstream>

using namespace Pollenwind;

namespace {

std::string readExample(const std::string& name)
{
    std::ifstream file(std::string(POLLENWIND_EXAMPLES) + "/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

ServiceDocument checkedDocument(const std::string& name)
{
    const auto document = checkDocument(readExample(name));
    cr_assert(document, "%s", document ? "" : formatFault(name, document.error().front()).c_str());
    return *document;
}

std::size_t upstreamCount(const ServiceDocument& document, ServiceKind kind)
{
    std::size_t n = 0;
    for (const auto& [id, spec] : document.services) {
        n += spec.kind == kind ? spec.upstreams.size() : 0;
    }
    return n;
}

/// Checks the settings of nine routers: three in each of the document's three zones, with distinct addresses and seed
/// peers that are other routers of the example.
void checkRouters(const std::string& folder, const ServiceDocument& document)
{
    std::multiset<ZoneId> zones;
    std::set<VmId> vms;
    std::set<Endpoint> endpoints;
    std::set<Endpoint> peers;
    std::vector<Endpoint> seeds;
    for (int i = 1; i <= 9; ++i) {
        const auto name = folder + "/router-" + std::to_string(i) + ".json";
        const auto settings = parseSettings(readExample(name));
        cr_assert(settings, "%s", settings ? "" : formatFault(name, settings.error().front()).c_str());
        zones.insert(settings->zone);
        vms.insert(settings->vm);
        endpoints.insert({ settings->listenCallers, settings->listenAdmin, settings->listenPeers });
        peers.insert(settings->listenPeers);
        seeds.insert(seeds.end(), settings->seedPeers.begin(), settings->seedPeers.end());
        cr_assert(std::ranges::find(settings->seedPeers, settings->listenPeers) == settings->seedPeers.end());
    }
    cr_assert_eq(vms.size(), 9);
    cr_assert_eq(endpoints.size(), 27);
    for (const auto& zone : document.zones) {
        cr_assert_eq(zones.count(zone), 3);
    }
    for (const auto& seed : seeds) {
        cr_assert(peers.contains(seed));
    }
}

} // namespace

// Guards against an example that no longer passes validation, or whose size differs from section 1.4 of the design
// page.
Test(Examples, drattur)
{
    const auto document = checkedDocument("drattur/services.json");
    cr_assert_eq(upstreamCount(document, ServiceKind::Model), 9);
    cr_assert_eq(upstreamCount(document, ServiceKind::Plain), 3);
    cr_assert_eq(upstreamCount(document, ServiceKind::CacheStore), 1);
    cr_assert_eq(document.organisations.size(), 5);
    cr_assert_eq(document.services.at(ServiceId("fitter")).concurrentLoads, 2);
    checkRouters("drattur", document);
}

// The same for the larger example.
Test(Examples, kutpenz)
{
    const auto document = checkedDocument("kutpenz/services.json");
    cr_assert_eq(upstreamCount(document, ServiceKind::Model), 18);
    cr_assert_eq(upstreamCount(document, ServiceKind::Plain), 3);
    cr_assert_eq(upstreamCount(document, ServiceKind::CacheStore), 1);
    cr_assert_eq(document.organisations.size(), 5);
    cr_assert_eq(document.services.at(ServiceId("cataloguer")).concurrentLoads, 3);
    checkRouters("kutpenz", document);
}

// Guards against a demo whose files no longer pass validation.
Test(Examples, demo)
{
    checkedDocument("demo/services.json");
    cr_assert(parseSettings(readExample("demo/router.json")));
}
