#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Limits/Commands/GrantLender.h"
#include "Limits/Commands/ShareCommands.h"
#include "Limits/LimitAccount.h"
#include "Limits/Queries/LimitQueries.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Pollenwind {

/// A grant request to send.
struct BorrowOrder {
    VmId lender;
    GrantRequest request;
    MonotonicTime sentAt { 0 };
};

/// A settlement to send.
struct SettlementOrder {
    VmId lender;
    GrantSettlement settlement;
};

/// Token accounting of one VM: admits queued requests in order of arrival and decides on borrowing and lending. It does
/// no I/O and never blocks; the caller sends the requests and settlements that it returns. Only active organisations
/// have an account.
class LimitTable : public GrantLender, public ShareCommands, public LimitQueries {
public:
    LimitTable(const Clock& clock, const ConfigurationQueries& configuration, VmId self, ZoneId zone);

    // GrantLender
    GrantReply lend(const VmId& borrower, const GrantRequest& request) override;
    void settle(const VmId& borrower, const GrantSettlement& settlement) override;

    // ShareCommands
    void adoptShares(const ShareRecord& record, const std::set<ShareSlotId>& used) override;
    void adoptNewRecord(const ShareRecord& record, const std::set<ShareSlotId>& used) override;

    // LimitQueries
    std::vector<LimitStatus> status() const override;
    ShareStatus shares() const override;

    /// Puts a request at the end of its organisation's queue.
    /// @return An error as LimitCommands::reserve(), when the request can be refused at once.
    Outcome<WaiterId> enqueue(const OrganisationId& organisation, double tokens, MonotonicTime deadline);
    /// Admits a waiting request when it is the first of its queue and enough tokens are available.
    /// @return The reservation; nothing while it must wait; an error, which ends the wait, at the deadline.
    Outcome<std::optional<ReservationId>> poll(const OrganisationId& organisation, WaiterId waiter);
    /// @return When to poll again unless something changes before.
    MonotonicTime nextCheck(const OrganisationId& organisation, WaiterId waiter) const;
    /// Removes a waiting request. An unknown one is ignored.
    void abandon(const OrganisationId& organisation, WaiterId waiter);
    /// @return The request at the head of an organisation's queue.
    std::optional<WaiterId> firstWaiter(const OrganisationId& organisation) const;
    /// Ends a reservation.
    /// @param used Tokens that the request used.
    /// @return The organisation, when tokens may have been refunded.
    std::optional<OrganisationId> settleReservation(ReservationId reservation, double used);

    /// Decides which grants to request now.
    std::vector<BorrowOrder> takeBorrowOrders(const OrganisationId& organisation);
    /// Processes the response to a grant request.
    /// @param reply Empty when the lender could not be reached in time.
    void onGrantReply(const BorrowOrder& order, const std::optional<GrantReply>& reply);
    /// @return Settlements that are due. Their grants can no longer be spent.
    std::vector<SettlementOrder> takeSettlements();

    /// Removes expired grants, returns unused ones and removes the accounts of idle organisations. Call about every 100
    /// ms.
    /// @return Organisations that may want to borrow.
    std::vector<OrganisationId> sweep();

    std::size_t accountCount() const { return m_accounts.size(); }

protected:
    /// @return Expiry of a grant whose request was sent at a time. Virtual, so that a test can disable expiry and
    /// verify that its checks detect it.
    virtual MonotonicTime expiryOf(MonotonicTime sentAt) const { return sentAt + grantLifetime; }

private:
    struct LentGrant {
        OrganisationId organisation;
        VmId borrower;
        double tokens = 0;
    };
    struct Reservation {
        OrganisationId organisation;
        double tokens = 0;
        MonotonicTime at { 0 };
        /// Grant that covered the last part, if any.
        GrantId grant;
        double fromGrant = 0;
    };
    using Accounts = std::unordered_map<OrganisationId, LimitAccount>;

    LimitAccount* findAccount(const OrganisationId& organisation, MonotonicTime now);
    BucketLimits bucketLimits(std::uint32_t group, double rate, double burst, MonotonicTime now) const;
    double accruedTokens(std::uint32_t group, double rate, MonotonicTime now) const;
    std::uint32_t slotCount(std::uint32_t group) const;
    void updateLenders(LimitAccount& account) const;
    void dropExpired(LimitAccount& account, MonotonicTime now);
    void expireLentGrants(MonotonicTime now);
    ReservationId spend(const OrganisationId& organisation, LimitAccount& account, double tokens, MonotonicTime now);
    void queueSettlement(const BorrowedGrant& grant);
    void returnSurplus(LimitAccount& account, MonotonicTime now);
    bool isIdle(const LimitAccount& account, MonotonicTime now) const;

    double horizonSeconds(const LimitAccount& account) const;
    double expectedLevel(const LimitAccount& account, const LenderView& lender, MonotonicTime now) const;
    double borrowAheadTokens(const LimitAccount& account, MonotonicTime now) const;
    double missingTokens(const LimitAccount& account, MonotonicTime now) const;
    std::vector<LenderView*> chooseLenders(LimitAccount& account, double missing, MonotonicTime now) const;
    bool isReachable(const VmId& vm, MonotonicTime now) const;
    double reachableFraction(const LimitAccount& account, MonotonicTime now) const;

    const Clock& m_clock;
    const ConfigurationQueries& m_configuration;
    const VmId m_self;
    const ZoneId m_zone;

    ShareRecord m_record;
    std::uint64_t m_sharesVersion = 0;
    /// Slots in use and when they were taken.
    std::map<ShareSlotId, MonotonicTime> m_slots;

    Accounts m_accounts;
    std::unordered_map<ReservationId, Reservation> m_reservations;
    std::unordered_map<GrantId, LentGrant> m_lentGrants;
    /// Lent grants in order of expiry.
    std::deque<std::pair<MonotonicTime, GrantId>> m_lentExpiries;
    std::vector<SettlementOrder> m_settlements;
    /// VMs that did not respond, and the time until which no request is sent to them.
    std::unordered_map<VmId, MonotonicTime> m_unreachable;
    std::uint64_t m_nextReservation = 1;
    std::uint64_t m_nextWaiter = 1;
};

} // namespace Pollenwind
