#pragma once

#include "Gateway/Queries/ChangeFeed.h"
#include "Store/Queries/StoreQueries.h"

#include <optional>

namespace Pollenwind {

/// Reads the platform's store through one watch on all keys.
class StoreFeed final : public ChangeFeed {
public:
    explicit StoreFeed(StoreQueries& store)
        : m_store(store)
    {
    }

    Task<Outcome<FeedRecords>> readAll() override;
    Task<Outcome<FeedChanges>> changesAfter(std::int64_t revision, std::chrono::milliseconds wait) override;

private:
    void closeWatch();

    StoreQueries& m_store;
    std::optional<WatchId> m_watch;
    /// Revision up to which the watch has reported changes.
    std::int64_t m_watchRevision = 0;
};

} // namespace Pollenwind
