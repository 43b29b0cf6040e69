#pragma once

#include "Dispatch/Commands/ClaimCommands.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Store/Commands/StoreCommands.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace Pollenwind {

/// Claims in the platform's store. One retention lease serves all claims that this process makes within an hour.
class StoreClaims final : public ClaimCommands {
public:
    StoreClaims(const Clock& clock, StoreCommands& store, MetricCommands& metrics);

    Task<Outcome<ClaimAnswer>> claim(ClaimRequest request) override;
    Task<Outcome<void>> complete(ClaimTicket ticket, std::optional<PlainAnswer> answer) override;
    Task<Outcome<void>> release(ClaimTicket ticket) override;

private:
    Task<Outcome<LeaseId>> currentLease();
    Task<Outcome<LeaseId>> grantLease();
    Task<Outcome<SwapResult>> write(std::string key, std::string value);
    Task<bool> dropExpiredLease(LeaseId lease);
    ClaimAnswer evaluate(const ClaimTicket& ticket, const StoreEntry& found);

    const Clock& m_clock;
    StoreCommands& m_store;
    MetricCommands& m_metrics;
    LeaseId m_lease;
    MonotonicTime m_leaseGrantedAt { 0 };
    /// Wakes the tasks that wait for a grant in progress; absent when there is none.
    std::shared_ptr<asio::steady_timer> m_grantWait;
    /// Attempts of this process whose call is running.
    std::set<std::string> m_running;
    /// Attempts whose claim may have been written although the call was refused as not run. A repeat at this process
    /// may use such a claim, since nothing was dispatched under it.
    std::set<std::string> m_unstarted;
};

} // namespace Pollenwind
