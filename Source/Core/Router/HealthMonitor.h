#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Upstream/Commands/UpstreamCommands.h"
#include "Upstream/Queries/HealthClient.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <chrono>
#include <set>

namespace Pollenwind {

/// Polls the health of each upstream, with one task for each upstream.
class HealthMonitor {
public:
    HealthMonitor(asio::any_io_executor executor, UpstreamCommands& commands, const UpstreamQueries& queries,
        HealthClient& client, std::chrono::nanoseconds interval);

    /// Starts tasks for upstreams that have none. Call after each reconfiguration. A task ends when its upstream is no
    /// longer configured.
    void followUpstreams();

private:
    Task<> follow(UpstreamId upstream);

    asio::any_io_executor m_executor;
    UpstreamCommands& m_commands;
    const UpstreamQueries& m_queries;
    HealthClient& m_client;
    std::chrono::nanoseconds m_interval;
    std::set<UpstreamId> m_followed;
};

} // namespace Pollenwind
