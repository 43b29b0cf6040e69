#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Placement/Commands/CacheCommands.h"
#include "Placement/Queries/CacheQueries.h"
#include "Upstream/Queries/CacheEventClient.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <set>

namespace Pollenwind {

/// Reads the cache events of each engine, with one task for each engine. A lost or silent stream is reopened at the
/// first event not received; until then the cache index of that engine is not trusted.
class CacheEventMonitor {
public:
    CacheEventMonitor(asio::any_io_executor executor, CacheCommands& commands, const CacheQueries& cache,
        const UpstreamQueries& upstreams, const ConfigurationQueries& configuration, CacheEventClient& client);

    /// Starts tasks for engines of the configured model services that have none. Call after each reconfiguration. A
    /// task ends when its engine is no longer configured.
    void followEngines();

private:
    Task<> follow(UpstreamId upstream);
    Task<> readStream(UpstreamId upstream, Endpoint endpoint);

    asio::any_io_executor m_executor;
    CacheCommands& m_commands;
    const CacheQueries& m_cache;
    const UpstreamQueries& m_upstreams;
    const ConfigurationQueries& m_configuration;
    CacheEventClient& m_client;
    std::set<UpstreamId> m_followed;
};

} // namespace Pollenwind
