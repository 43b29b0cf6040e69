#include "Router/CacheEventMonitor.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"
#include "Common/TaskFault.h"

namespace Pollenwind {

namespace {

    // Engines send a keep-alive at least each second, so three missed ones mean a dead connection.
    constexpr std::chrono::seconds silenceLimit { 3 };

    // Reconnections wait between one and two times this, so that not all routers reconnect to a restarted engine at
    // once.
    constexpr std::chrono::milliseconds reconnectDelay { 500 };

} // namespace

CacheEventMonitor::CacheEventMonitor(asio::any_io_executor executor, CacheCommands& commands, const CacheQueries& cache,
    const UpstreamQueries& upstreams, const ConfigurationQueries& configuration, CacheEventClient& client)
    : m_executor(std::move(executor))
    , m_commands(commands)
    , m_cache(cache)
    , m_upstreams(upstreams)
    , m_configuration(configuration)
    , m_client(client)
{
}

void CacheEventMonitor::followEngines()
{
    const auto configuration = m_configuration.current();
    for (const auto& [id, service] : configuration->document.services) {
        if (service.kind != ServiceKind::Model) {
            continue;
        }
        for (const auto& spec : service.upstreams) {
            if (m_followed.insert(spec.id).second) {
                spawnService(m_executor, TaskKind::UpstreamCall, [this, id = spec.id] { return follow(id); });
            }
        }
    }
}

Task<> CacheEventMonitor::follow(UpstreamId upstream)
{
    while (const auto endpoint = m_upstreams.endpointOf(upstream)) {
        co_await readStream(upstream, *endpoint);
        m_commands.setEventStreamActive(upstream, false);
        const auto jitter = std::chrono::milliseconds(randomBits() % reconnectDelay.count());
        co_await sleepFor(reconnectDelay + jitter);
    }
    m_followed.erase(upstream);
}

Task<> CacheEventMonitor::readStream(UpstreamId upstream, Endpoint endpoint)
{
    const auto stream = co_await m_client.openCacheEvents(endpoint, m_cache.nextSequence(upstream), silenceLimit);
    if (!stream) {
        co_return;
    }
    while (m_upstreams.endpointOf(upstream) == endpoint) {
        const auto events = co_await (*stream)->next(silenceLimit);
        if (!events) {
            co_return;
        }
        for (const auto& event : *events) {
            m_commands.onCacheEvent(upstream, event);
        }
        m_commands.setEventStreamActive(upstream, true);
    }
}

} // namespace Pollenwind
