#include "Gateway/StoreFeed.h"

#include <algorithm>
#include <utility>

namespace Pollenwind {

Task<Outcome<FeedRecords>> StoreFeed::readAll()
{
    auto range = co_await m_store.readPrefix("");
    if (!range) {
        co_return std::unexpected(range.error());
    }
    co_return FeedRecords { std::move(*range) };
}

Task<Outcome<FeedChanges>> StoreFeed::changesAfter(std::int64_t revision, std::chrono::milliseconds wait)
{
    if (m_watch && m_watchRevision != revision) {
        // The changes up to the given revision came from another feed meanwhile.
        closeWatch();
    }
    if (!m_watch) {
        const auto watch = co_await m_store.openWatch("", revision + 1);
        if (!watch) {
            co_return std::unexpected(watch.error());
        }
        m_watch = *watch;
        m_watchRevision = revision;
    }
    const auto requestedAt = std::chrono::steady_clock::now();
    auto changes = co_await m_store.nextEventsWithin(*m_watch, wait);
    if (!changes) {
        closeWatch();
        co_return std::unexpected(changes.error());
    }
    m_watchRevision = std::max(m_watchRevision, changes->revision);
    // A response without changes was written when the wait ended, one with changes at some time after the request.
    const bool isFullWait = changes->events.empty() && std::chrono::steady_clock::now() - requestedAt >= wait;
    co_return FeedChanges { std::move(*changes), isFullWait ? wait : std::chrono::milliseconds(0) };
}

void StoreFeed::closeWatch()
{
    if (m_watch) {
        m_store.closeWatch(*std::exchange(m_watch, std::nullopt));
    }
}

} // namespace Pollenwind
