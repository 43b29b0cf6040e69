#include "Common/Sleep.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Placement/PlacementIndex.h"
#include "Router/CacheEventMonitor.h"
#include "StandIn/EngineStandIn.h"
#include "Upstream/HttpUpstreamClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <criterion/criterion.h>

#include <functional>
#include <set>

using namespace Pollenwind;

namespace {

const UpstreamId engineName("e1");
const UpstreamId plainName("p1");

class FixedConfiguration final : public ConfigurationQueries {
public:
    explicit FixedConfiguration(Endpoint endpoint)
        : m_configuration(std::make_shared<Configuration>())
    {
        auto& services = m_configuration->document.services;
        services[ServiceId("m")] = { .id = ServiceId("m"), .upstreams = { { engineName, endpoint, ZoneId("z1") } } };
        services[ServiceId("p")] = {
            .id = ServiceId("p"), .kind = ServiceKind::Plain, .upstreams = { { plainName, endpoint, ZoneId("z1") } }
        };
    }
    std::shared_ptr<const Configuration> current() const override { return m_configuration; }

private:
    std::shared_ptr<Configuration> m_configuration;
};

class FixedUpstreams final : public UpstreamQueries {
public:
    explicit FixedUpstreams(Endpoint endpoint)
        : m_endpoint(std::move(endpoint))
    {
    }
    std::vector<PlacementCandidate> candidates(const ServiceId&, const VersionId&) const override { return {}; }
    std::optional<Endpoint> endpointOf(const UpstreamId& upstream) const override
    {
        m_asked.insert(upstream);
        return m_endpoint;
    }
    std::vector<UpstreamStatus> status() const override { return {}; }
    const std::set<UpstreamId>& asked() const { return m_asked; }

private:
    Endpoint m_endpoint;
    mutable std::set<UpstreamId> m_asked;
};

Outcome<HealthReport> readHealth(HttpUpstreamClient& client, asio::io_context& context, const Endpoint& endpoint)
{
    Outcome<HealthReport> report;
    asio::co_spawn(
        context, [&]() -> Task<> { report = co_await client.health(endpoint, std::chrono::seconds(5)); },
        asio::detached);
    while (report && report->state == UpstreamState::Unreachable) {
        context.run_one();
    }
    return report;
}

void runUntil(asio::io_context& context, const std::function<bool()>& isDone)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(30);
    while (!isDone() && std::chrono::steady_clock::now() < end) {
        context.run_one_for(std::chrono::milliseconds(100));
    }
    cr_assert(isDone());
}

} // namespace

// Guards against an engine whose cache events are not read, a stream that is not reopened after an interruption, and
// event streams that are requested from upstreams that are not engines.
Test(CacheEventMonitor, followsAgainAfterBreak)
{
    asio::io_context context(1);
    EngineStandIn engine(context.get_executor(), { .service = ServiceId("m"), .version = VersionId("v1") });
    const auto endpoint = engine.listen({ "127.52.0.1", 0 });
    cr_assert(endpoint.has_value());
    SystemClock clock;
    PlacementIndex index(clock);
    HttpUpstreamClient client(context.get_executor(), std::chrono::seconds(5));
    FixedConfiguration configuration(*endpoint);
    FixedUpstreams upstreams(*endpoint);
    CacheEventMonitor monitor(context.get_executor(), index, index, upstreams, configuration, client);
    monitor.followEngines();

    const OrganisationId organisation("o1");
    const std::string prompt(std::size_t { 2 } * 2048 * bytesPerToken, 'x');
    const auto chain = makePrefixChain(chainSalt(organisation, ServiceId("m"), VersionId("v1")), prompt, 2048);
    const auto generate = [&]() -> Task<> {
        GenerationCall call { RequestId("r1"), ServiceId("m"), VersionId("v1"), organisation, prompt, 1 };
        const auto stream = client.open(*endpoint, call);
        cr_assert((co_await client.begin(stream, std::chrono::seconds(5))).has_value());
    };
    for (int run = 0; run < 2; ++run) {
        const auto report = readHealth(client, context, *endpoint);
        cr_assert(report.has_value());
        index.setIncarnation(engineName, report->incarnation);
        cr_assert(index.holders(chain).empty());
        asio::co_spawn(context, generate(), asio::detached);
        runUntil(context, [&] { return !index.holders(chain).empty() && index.nextSequence(engineName) == 3; });
        cr_assert_eq(index.holders(chain).front().blocks, 2);
        engine.crash();
    }
    cr_assert_not(upstreams.asked().contains(plainName));
}
