#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Store/StoreTypes.h"

#include <chrono>
#include <string>

namespace Pollenwind {

/// Reads the platform's key-value store. Errors: StoreUnavailable for every failure of the store or the way to it.
class StoreQueries {
public:
    StoreQueries() = default;
    StoreQueries(const StoreQueries&) = delete;
    StoreQueries& operator=(const StoreQueries&) = delete;
    virtual ~StoreQueries() = default;

    /// Reads one key.
    /// @return A range of one entry, or of none when the key is absent.
    virtual Task<Outcome<StoreRange>> read(std::string key) = 0;

    /// Reads all keys with a prefix.
    virtual Task<Outcome<StoreRange>> readPrefix(std::string prefix) = 0;

    /// Opens a watch on a prefix.
    /// @param fromRevision First revision whose changes are wanted.
    virtual Task<Outcome<WatchId>> openWatch(std::string prefix, std::int64_t fromRevision) = 0;

    /// Waits for changes or a progress notice.
    /// @return The changes; an error when the watch is broken or silent, after which it must be closed.
    virtual Task<Outcome<StoreEvents>> nextEvents(WatchId watch) = 0;

    /// Waits for changes or a progress notice, for a time that the caller sets. Stores that send progress notices at a
    /// pace of their own wait for these.
    virtual Task<Outcome<StoreEvents>> nextEventsWithin(WatchId watch, std::chrono::milliseconds)
    {
        return nextEvents(watch);
    }

    /// Closes a watch. A pending nextEvents() fails.
    virtual void closeWatch(WatchId watch) = 0;

    /// Reads the platform's list of VMs.
    virtual Task<Outcome<VmList>> listVms() = 0;
};

} // namespace Pollenwind
