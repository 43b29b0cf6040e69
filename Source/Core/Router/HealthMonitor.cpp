#include "Router/HealthMonitor.h"

#include "Common/Sleep.h"
#include "Common/TaskFault.h"

namespace Pollenwind {

HealthMonitor::HealthMonitor(asio::any_io_executor executor, UpstreamCommands& commands, const UpstreamQueries& queries,
    HealthClient& client, std::chrono::nanoseconds interval)
    : m_executor(std::move(executor))
    , m_commands(commands)
    , m_queries(queries)
    , m_client(client)
    , m_interval(interval)
{
}

void HealthMonitor::followUpstreams()
{
    for (const auto& status : m_queries.status()) {
        if (m_followed.insert(status.upstream).second) {
            spawnService(m_executor, TaskKind::UpstreamCall, [this, id = status.upstream] { return follow(id); });
        }
    }
}

Task<> HealthMonitor::follow(UpstreamId upstream)
{
    while (const auto endpoint = m_queries.endpointOf(upstream)) {
        const auto report = co_await m_client.health(*endpoint, m_interval);
        m_commands.recordHealth(upstream, report);
        co_await sleepFor(m_interval);
    }
    m_followed.erase(upstream);
}

} // namespace Pollenwind
