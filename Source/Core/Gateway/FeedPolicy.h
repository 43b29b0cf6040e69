#pragma once

#include "Common/Clock.h"
#include "Gateway/FleetView.h"

#include <map>
#include <optional>

namespace Pollenwind {

/// A VM of this zone that passes the store's changes on.
struct FeedPeer {
    VmId vm;
    Endpoint endpoint;
};

/// Decides from where this VM learns of changes in the store.
///
/// In a large fleet one or two watchers in each zone, the VMs with the smallest ids among those in contact, follow it;
/// the others follow them, so that the calls to the store do not grow with the fleet. There is no election: VMs with
/// different views only make a few calls more. A VM follows the store itself when no watcher answers, when the
/// watchers' knowledge is old, and while it gives orders to runners, which needs early news.
///
/// Load patterns that it answers: a watcher that is stopped, frozen or cut off is left after one call; when the store
/// turns the watchers away, the other VMs turn to the store one after the other, not all at once.
class FeedPolicy {
public:
    /// @param maxChangeDelay Longest time until a change in the store must take effect.
    FeedPolicy(const Clock& clock, const FleetView& fleet, VmId ownVm, std::chrono::milliseconds maxChangeDelay);

    /// @param age Age of this VM's knowledge.
    /// @param isOrderHolder Whether this VM gives orders to runners.
    /// @return The VM to follow, or nothing for the store itself.
    std::optional<FeedPeer> choose(std::chrono::nanoseconds age, bool isOrderHolder) const;

    /// Delay before this VM reads all records from a watcher that has read them anew. Its other followers do so as
    /// well, and it serves only a few at a time.
    std::chrono::milliseconds readDelay() const;

    /// Records that a call to a watcher failed. It is left out for a while.
    void recordFailure(const VmId& watcher);

private:
    const Clock& m_clock;
    const FleetView& m_fleet;
    VmId m_ownVm;
    std::uint64_t m_ownHash;
    /// Age of the knowledge from which this VM turns to the store.
    std::chrono::milliseconds m_maxAge;
    std::map<VmId, MonotonicTime> m_failedAt;
};

} // namespace Pollenwind
