#include "Transport/ConnectionPool.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Middleboxes drop idle connections silently; a short idle time makes it unlikely that a dead one is reused.
    constexpr std::chrono::seconds maxIdleTime { 10 };

    // A server closes an idle connection when its announced timeout ends; a request sent just before would be lost.
    constexpr std::chrono::milliseconds announcedTimeoutMargin { 500 };

} // namespace

std::unique_ptr<HttpConnection> ConnectionPool::take(const Endpoint& endpoint)
{
    const auto it = m_idle.find(endpoint);
    if (it == m_idle.end()) {
        return nullptr;
    }
    auto& idle = it->second;
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty()) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (now < candidate.until && candidate.connection->isReusable()) {
            return std::move(candidate.connection);
        }
    }
    return nullptr;
}

void ConnectionPool::release(const Endpoint& endpoint, std::unique_ptr<HttpConnection> connection)
{
    auto& idle = m_idle[endpoint];
    if (!connection->isReusable() || idle.size() >= m_idleLimit) {
        return;
    }
    std::chrono::milliseconds limit = maxIdleTime;
    if (const auto announced = connection->announcedIdleTimeout()) {
        limit = std::min(limit, *announced - announcedTimeoutMargin);
    }
    if (limit.count() > 0) {
        idle.push_back({ std::move(connection), std::chrono::steady_clock::now() + limit });
    }
}

void ConnectionPool::drop(const Endpoint& endpoint) { m_idle.erase(endpoint); }

void ConnectionPool::closeExpired()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto& [endpoint, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle& it) { return now >= it.until || !it.connection->isReusable(); });
    }
    std::erase_if(m_idle, [](const auto& it) { return it.second.empty(); });
}

} // namespace Pollenwind
