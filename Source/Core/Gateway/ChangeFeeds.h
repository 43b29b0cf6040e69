#pragma once

#include "Gateway/FeedPolicy.h"
#include "Gateway/PeerFeed.h"
#include "Gateway/StoreFeed.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>
#include <memory>

namespace Pollenwind {

/// The feeds from which this VM can learn of changes: the store and the watchers of its zone.
class ChangeFeeds {
public:
    ChangeFeeds(asio::any_io_executor executor, StoreQueries& store, FeedPolicy& policy, TimelineCommands& timeline);

    /// A feed in use.
    struct Selection {
        ChangeFeed& feed;
        /// VM behind the feed; nothing for the store.
        std::optional<VmId> watcher;
    };

    /// Selects the feed for the next call.
    /// @param age Age of this VM's knowledge.
    /// @param isOrderHolder Whether this VM gives orders to runners.
    Selection select(std::chrono::nanoseconds age, bool isOrderHolder);

    /// Delay before all records are read from a watcher that has read them anew.
    std::chrono::milliseconds readDelay() const { return m_policy.readDelay(); }

    /// Records that a call to a watcher failed.
    void recordFailure(const VmId& watcher, const Error& error);

private:
    asio::any_io_executor m_executor;
    FeedPolicy& m_policy;
    TimelineCommands& m_timeline;
    StoreFeed m_store;
    std::map<VmId, std::unique_ptr<PeerFeed>> m_peers;
    std::optional<VmId> m_selected;
};

} // namespace Pollenwind
