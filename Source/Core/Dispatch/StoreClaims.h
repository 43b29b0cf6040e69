#pragma once

#include "Dispatch/Commands/ClaimCommands.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Store/Commands/StoreCommands.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace Pollenwind {

/// Keeps claims in the platform's store. All claims that this process creates within an hour share one retention lease.
class StoreClaims final : public ClaimCommands {
public:
    StoreClaims(const Clock& clock, StoreCommands& store, MetricCommands& metrics);

    Task<Outcome<ClaimAnswer>> claim(ClaimRequest request) override;
    Task<Outcome<void>> complete(ClaimTicket ticket, std::optional<PlainAnswer> answer) override;
    Task<Outcome<void>> release(ClaimTicket ticket) override;

private:
    /// @return The retention lease for new claims; a new one if the last one was granted more than an hour ago.
    Task<Outcome<LeaseId>> currentLease();
    Task<Outcome<LeaseId>> grantLease();
    /// Creates a key under the current lease. Repeats the write if its result is unknown or the lease has expired.
    Task<Outcome<SwapResult>> write(std::string key, std::string value);
    /// Queries the store for a lease and stops using it for new claims if it has expired.
    /// @return True if it has expired.
    Task<bool> dropExpiredLease(LeaseId lease);
    /// Converts an existing record to the result of a claim.
    ClaimAnswer evaluate(const ClaimTicket& ticket, const StoreEntry& found);

    const Clock& m_clock;
    StoreCommands& m_store;
    MetricCommands& m_metrics;
    LeaseId m_lease;
    MonotonicTime m_leaseGrantedAt { 0 };
    /// Wakes the tasks that wait for a lease grant in progress; null if there is none.
    std::shared_ptr<asio::steady_timer> m_grantWait;
    /// Attempts of this process whose call is running.
    std::set<std::string> m_running;
    /// Attempts whose claim may have been written although the call was refused as not run. A repeated request at this
    /// process may use such a claim, because nothing was dispatched under it.
    std::set<std::string> m_unstarted;
};

} // namespace Pollenwind
