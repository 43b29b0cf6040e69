#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Store/StoreTypes.h"

#include <chrono>
#include <string>

namespace Pollenwind {

/// Reads the platform's key-value store. Revisions are positions (see StorePosition). Errors: StoreUnavailable for
/// every failure of the store or of the connection to it; for a watch, Conflict when the store does not have the
/// changes from its position, because they are no longer kept or belong to an earlier era.
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
    /// @return The entries and a revision: a watch from the next one reports every change that the entries do not
    /// contain.
    virtual Task<Outcome<StoreRange>> readPrefix(std::string prefix) = 0;

    /// Opens a watch on a prefix.
    /// @param fromRevision First revision whose changes are reported.
    virtual Task<Outcome<WatchId>> openWatch(std::string prefix, std::int64_t fromRevision) = 0;

    /// Waits for changes or a progress notice.
    /// @return The changes; an error when the watch failed or timed out, after which it must be closed.
    virtual Task<Outcome<StoreEvents>> nextEvents(WatchId watch) = 0;

    /// Waits for changes or a progress notice, at most for the given time. A store that sends progress notices at its
    /// own interval ignores the time and waits as nextEvents() does.
    virtual Task<Outcome<StoreEvents>> nextEventsWithin(WatchId watch, std::chrono::milliseconds)
    {
        return nextEvents(watch);
    }

    /// Closes a watch. A pending nextEvents() may fail; later calls do.
    virtual void closeWatch(WatchId watch) = 0;

    /// Reads the platform's list of VMs.
    /// @return The list, or StoreUnavailable also when the platform has none.
    virtual Task<Outcome<VmList>> listVms() = 0;
};

} // namespace Pollenwind
