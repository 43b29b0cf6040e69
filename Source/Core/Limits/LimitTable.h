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

/// The decisions on tokens of one VM: spending, waiting in order, borrowing and lending. It sends nothing and waits for
/// nothing; the caller carries out the orders that it returns. Only active organisations have state.
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
    /// Admits a waiting request when it is the first of its queue and the tokens are there.
    /// @return The reservation; nothing while it must wait; an error, which ends the wait, at the deadline.
    Outcome<std::optional<ReservationId>> poll(const OrganisationId& organisation, WaiterId waiter);
    /// @return When to poll again unless something changes before.
    MonotonicTime nextCheck(const OrganisationId& organisation, WaiterId waiter) const;
    /// Removes a waiting request. An unknown one is ignored.
    void abandon(const OrganisationId& organisation, WaiterId waiter);
    /// @return The request at the head of an organisation's queue.
    std::optional<WaiterId> firstWaiter(const OrganisationId& organisation) const;
    /// Ends a reservation.
    /// @param used Tokens that the request really took.
    /// @return The organisation, when tokens may have come back.
    std::optional<OrganisationId> settleReservation(ReservationId reservation, double used);

    /// Decides which grants to ask for now.
    std::vector<BorrowOrder> takeBorrowOrders(const OrganisationId& organisation);
    /// Takes note of the answer to a grant request.
    /// @param reply Nothing when the lender could not be reached in time.
    void onGrantReply(const BorrowOrder& order, const std::optional<GrantReply>& reply);
    /// @return Settlements that are due. The grants in them cannot be spent any more.
    std::vector<SettlementOrder> takeSettlements();

    /// Ends expired grants, returns unused ones and forgets idle organisations. Call about every 100 ms.
    /// @return Organisations that may want to borrow.
    std::vector<OrganisationId> sweep();

    std::size_t accountCount() const { return m_accounts.size(); }

protected:
    /// @return When a grant that was asked for at a time ends. Virtual so that a test can break it and see that its
    /// checks notice.
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
        /// Grant that paid the last part, if any.
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
    double tokensAhead(const LimitAccount& account, MonotonicTime now) const;
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
    /// Grants in order of the time at which they are forgotten.
    std::deque<std::pair<MonotonicTime, GrantId>> m_lentExpiries;
    std::vector<SettlementOrder> m_settlements;
    /// VMs that did not answer, and until when they are not asked.
    std::unordered_map<VmId, MonotonicTime> m_unreachable;
    std::uint64_t m_nextReservation = 1;
    std::uint64_t m_nextWaiter = 1;
};

} // namespace Pollenwind
