#pragma once

#include "Config/ServiceDocument.h"
#include "Limits/Commands/LimitCommands.h"
#include "Limits/TokenBucket.h"

#include <cmath>
#include <optional>
#include <vector>

namespace Pollenwind {

/// One request that waits for tokens.
using WaiterId = Id<struct WaiterTag, std::uint64_t>;

/// Tokens borrowed from another VM.
struct BorrowedGrant {
    GrantId id;
    VmId lender;
    /// Tokens granted, and those not spent yet.
    double tokens = 0;
    double left = 0;
    MonotonicTime sentAt { 0 };
    MonotonicTime expiresAt { 0 };
};

/// What this VM knows about another holder of an organisation's slots.
struct LenderView {
    VmId vm;
    bool isOwnZone = false;
    std::uint32_t slots = 0;
    /// Tokens that the lender last reported as available, and when; before the first report it is assumed to be full.
    float level = 0;
    bool isLevelKnown = false;
    bool isRequestPending = false;
    MonotonicTime levelAt { 0 };
};

/// Recent demand as an exponentially weighted average.
class DemandMeter {
public:
    void addRequest(MonotonicTime now, double tokens)
    {
        const double kept = decay(now);
        m_rate = m_rate * kept + tokens / averagingSeconds;
        m_requests = m_requests * kept + 1;
        m_at = now;
    }

    /// @return Whether there was more than one recent request. Borrowing ahead for single requests would multiply the
    /// messages of organisations that rarely send requests but spread them over many VMs.
    bool isRecurring(MonotonicTime now) const { return m_requests * decay(now) > 1; }

    /// @return Tokens a second.
    double rate(MonotonicTime now) const { return m_rate * decay(now); }

private:
    static constexpr double averagingSeconds = 0.5;

    double decay(MonotonicTime now) const
    {
        return std::exp(-std::chrono::duration<double>(now - m_at).count() / averagingSeconds);
    }

    double m_rate = 0;
    double m_requests = 0;
    MonotonicTime m_at { 0 };
};

/// State of one active organisation on this VM.
struct LimitAccount {
    struct Waiter {
        WaiterId id;
        double tokens = 0;
        MonotonicTime deadline { 0 };
    };

    LimitAccount(const OrganisationSpec& spec, const TokenBucket& first)
        : rate(spec.rate)
        , burst(spec.burst)
        , bucket(first)
    {
    }

    double borrowed() const
    {
        double sum = 0;
        for (const auto& grant : grants) {
            sum += grant.left;
        }
        return sum;
    }

    double waiting() const
    {
        double sum = 0;
        for (const auto& waiter : waiters) {
            sum += waiter.tokens;
        }
        return sum;
    }

    /// Rate and burst of the organisation over the fleet.
    double rate = 0;
    double burst = 0;
    std::uint32_t group = 0;
    /// Slots of the group that this VM uses.
    std::uint32_t slots = 0;
    TokenBucket bucket;
    DemandMeter demand;
    /// Tokens in pending grant requests.
    double requested = 0;
    MonotonicTime usedAt { 0 };
    /// In order of expiry.
    std::vector<BorrowedGrant> grants;
    std::vector<LenderView> lenders;
    /// Version of the allocation that `lenders` was built from.
    std::uint64_t sharesVersion = 0;
    /// In order of arrival.
    std::vector<Waiter> waiters;
};

} // namespace Pollenwind
