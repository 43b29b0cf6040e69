#include "Gateway/ChangeFeeds.h"

namespace Pollenwind {

ChangeFeeds::ChangeFeeds(
    asio::any_io_executor executor, StoreQueries& store, FeedPolicy& policy, TimelineCommands& timeline)
    : m_executor(std::move(executor))
    , m_policy(policy)
    , m_timeline(timeline)
    , m_store(store)
{
}

ChangeFeeds::Selection ChangeFeeds::select(std::chrono::nanoseconds age, bool isOrderHolder)
{
    const auto peer = m_policy.choose(age, isOrderHolder);
    const auto watcher = peer ? std::optional(peer->vm) : std::nullopt;
    if (watcher != m_selected) {
        m_timeline.record(EventKind::FeedChanged, { { "feed", watcher ? watcher->value() : "store" } });
        m_selected = watcher;
        std::erase_if(m_peers, [&watcher](const auto& it) { return it.first != watcher; });
    }
    if (!peer) {
        return { m_store, std::nullopt };
    }
    auto& feed = m_peers[peer->vm];
    if (!feed) {
        feed = std::make_unique<PeerFeed>(m_executor, peer->endpoint);
    }
    return { *feed, watcher };
}

void ChangeFeeds::recordFailure(const VmId& watcher, const Error& error)
{
    m_policy.recordFailure(watcher);
    m_timeline.record(EventKind::FeedLost, { { "feed", watcher.value() }, { "cause", error.message } });
}

} // namespace Pollenwind
