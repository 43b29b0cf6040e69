#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Store/StoreTypes.h"

#include <chrono>
#include <string>

namespace Pollenwind {

/// Writes to the platform's key-value store. Revisions and leases are positions (see StorePosition).
///
/// Errors: StoreUnavailable; Conflict when the condition names a position of an earlier era of the store; NotFound when
/// the lease has ended, also with its era. With RunState::Unknown the write may have taken effect, because the response
/// can be lost after the store has executed it, or because the store was restored meanwhile.
class StoreCommands {
public:
    StoreCommands() = default;
    StoreCommands(const StoreCommands&) = delete;
    StoreCommands& operator=(const StoreCommands&) = delete;
    virtual ~StoreCommands() = default;

    /// Writes a key if its last change has the expected revision.
    /// @param expectedRevision Revision of the key's last change; 0 when the key must not exist.
    /// @param lease Lease to attach the key to, or none.
    virtual Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expectedRevision, std::string value, LeaseId lease = {})
        = 0;

    /// Writes a key if its last change has the expected revision, and another key in the same transaction. Not every
    /// store supports this; the others fail with StoreUnavailable.
    /// @param expectedRevision Revision of the first key's last change; 0 when that key must not exist.
    /// @param also Written whatever it held before, if the first key is written.
    virtual Task<Outcome<SwapResult>> compareAndSwapWith(
        StoreWrite write, std::int64_t expectedRevision, StoreWrite also)
    {
        static_cast<void>(write);
        static_cast<void>(expectedRevision);
        static_cast<void>(also);
        co_return fail(ErrorCode::StoreUnavailable, "the store has no transactions over two keys");
    }

    /// Erases a key if its last change has the expected revision.
    virtual Task<Outcome<SwapResult>> compareAndErase(std::string key, std::int64_t expectedRevision) = 0;

    /// Creates a lease.
    virtual Task<Outcome<LeaseId>> grantLease(std::chrono::seconds timeToLive) = 0;

    /// Renews a lease.
    /// @return The time to live after the renewal; an error with code NotFound when the lease has expired.
    virtual Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId lease) = 0;

    /// Ends a lease and erases its keys.
    virtual Task<Outcome<void>> revoke(LeaseId lease) = 0;
};

} // namespace Pollenwind
