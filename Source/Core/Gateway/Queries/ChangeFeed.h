#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Store/StoreTypes.h"

#include <chrono>

namespace Pollenwind {

/// All records of the store as a feed knows them.
struct FeedRecords {
    StoreRange range;
    /// Longest time before the response up to which the feed knew every change.
    std::chrono::nanoseconds age { 0 };
};

/// Changes of the store as a feed knows them.
struct FeedChanges {
    StoreEvents changes;
    /// Time from the request to the response for which the feed certainly waited.
    std::chrono::nanoseconds waited { 0 };
    /// Longest time before the response up to which the feed knew every change.
    std::chrono::nanoseconds age { 0 };
};

/// Source of the store's records: the store itself or a VM that follows it.
///
/// Errors: Conflict when the feed no longer has the changes after the given revision, else StoreUnavailable.
class ChangeFeed {
public:
    ChangeFeed() = default;
    ChangeFeed(const ChangeFeed&) = delete;
    ChangeFeed& operator=(const ChangeFeed&) = delete;
    virtual ~ChangeFeed() = default;

    virtual Task<Outcome<FeedRecords>> readAll() = 0;

    /// Waits for changes after a revision.
    /// @param wait Longest time to wait; without changes the response is written at its end.
    virtual Task<Outcome<FeedChanges>> changesAfter(std::int64_t revision, std::chrono::milliseconds wait) = 0;
};

} // namespace Pollenwind
