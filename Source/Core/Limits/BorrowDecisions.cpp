#include "Limits/LimitTable.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    /// Tokens are borrowed at most this far ahead of the demand. New grants are requested once half of it is used up.
    constexpr double longestHorizonSeconds = 0.8;
    /// Fraction of the burst that may be borrowed ahead. Outstanding grants count against the lenders' caps; with more
    /// of them the lenders' buckets could not refill.
    constexpr double borrowedBurstFraction = 0.3;
    /// Age at which a grant that the demand no longer needs is returned, so that it does not expire unused.
    constexpr std::chrono::milliseconds surplusAge { 300 };
    /// Time before its expiry at which a grant is returned in any case.
    constexpr std::chrono::milliseconds returnMargin { 300 };
    constexpr std::chrono::milliseconds unreachableTime { 500 };

    double seconds(MonotonicTime duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void LimitTable::updateLenders(LimitAccount& account) const
{
    if (account.sharesVersion == m_sharesVersion) {
        return;
    }
    account.sharesVersion = m_sharesVersion;
    std::vector<LenderView> lenders;
    for (const auto& [slot, holder] : m_record.holders) {
        if (slot.group != account.group || holder.vm == m_self) {
            continue;
        }
        const auto sameVm = [&](const LenderView& it) { return it.vm == holder.vm; };
        const auto known = std::find_if(lenders.begin(), lenders.end(), sameVm);
        if (known != lenders.end()) {
            ++known->slots;
            continue;
        }
        const auto old = std::find_if(account.lenders.begin(), account.lenders.end(), sameVm);
        auto lender = old == account.lenders.end() ? LenderView { holder.vm, slot.zone == m_zone } : *old;
        lender.slots = 1;
        lenders.push_back(std::move(lender));
    }
    account.lenders = std::move(lenders);
}

bool LimitTable::isReachable(const VmId& vm, MonotonicTime now) const
{
    const auto it = m_unreachable.find(vm);
    return it == m_unreachable.end() || now >= it->second;
}

double LimitTable::reachableFraction(const LimitAccount& account, MonotonicTime now) const
{
    std::uint32_t slots = account.slots;
    for (const auto& lender : account.lenders) {
        slots += isReachable(lender.vm, now) ? lender.slots : 0;
    }
    return std::min(1.0, slots * m_record.layout.slotFraction());
}

double LimitTable::horizonSeconds(const LimitAccount& account) const
{
    return account.rate > 0 ? std::min(longestHorizonSeconds, borrowedBurstFraction * account.burst / account.rate) : 0;
}

double LimitTable::expectedLevel(const LimitAccount& account, const LenderView& lender, MonotonicTime now) const
{
    const double fraction = m_record.layout.slotFraction() * lender.slots;
    const double most = largestLentFraction * account.burst * fraction;
    return lender.isLevelKnown ? std::min(most, lender.level + account.rate * fraction * seconds(now - lender.levelAt))
                               : most;
}

double LimitTable::borrowAheadTokens(const LimitAccount& account, MonotonicTime now) const
{
    return account.demand.isRecurring(now) ? std::min(account.demand.rate(now), account.rate) * horizonSeconds(account)
                                           : 0;
}

double LimitTable::missingTokens(const LimitAccount& account, MonotonicTime now) const
{
    const double horizon = horizonSeconds(account);
    const double ahead = borrowAheadTokens(account, now);
    const double waiting = account.waiting();
    const double available = account.bucket.level() + account.borrowed() + account.requested;
    // A full bucket refills no further, however long the request waits.
    const double refill
        = std::clamp(account.bucket.limits().rate * horizon, 0.0, std::max(0.0, account.bucket.headroom()));
    const double missing = waiting + ahead - available - refill;
    // Requesting grants only when half of the horizon is used up halves the number of messages.
    return missing > ahead / 2 || (waiting > available && missing > 0) ? missing : 0;
}

std::vector<LenderView*> LimitTable::chooseLenders(LimitAccount& account, double missing, MonotonicTime now) const
{
    const double smallest = std::min(missing / 2, account.burst * m_record.layout.slotFraction() / 20);
    std::vector<LenderView*> candidates;
    for (auto& lender : account.lenders) {
        if (!lender.isRequestPending && isReachable(lender.vm, now)
            && expectedLevel(account, lender, now) >= smallest) {
            candidates.push_back(&lender);
        }
    }
    std::sort(candidates.begin(), candidates.end(), [&](const LenderView* a, const LenderView* b) {
        return a->isOwnZone != b->isOwnZone ? a->isOwnZone
                                            : expectedLevel(account, *a, now) > expectedLevel(account, *b, now);
    });
    // For a recurring demand, take the fewest lenders that hold twice the missing tokens, so that it does not drain one
    // of them. For a single request, minimise the number of messages.
    const double wanted = account.demand.isRecurring(now) ? 2 * missing : missing;
    double sum = 0;
    std::size_t n = 0;
    while (n < candidates.size() && sum < wanted) {
        sum += expectedLevel(account, *candidates[n++], now);
    }
    candidates.resize(n);
    return candidates;
}

std::vector<BorrowOrder> LimitTable::takeBorrowOrders(const OrganisationId& organisation)
{
    const auto now = m_clock.now();
    auto* account = findAccount(organisation, now);
    const double missing = account == nullptr ? 0 : missingTokens(*account, now);
    if (missing <= 0) {
        return {};
    }
    const auto lenders = chooseLenders(*account, missing, now);
    double sum = 0;
    for (const auto* lender : lenders) {
        sum += expectedLevel(*account, *lender, now);
    }
    std::vector<BorrowOrder> orders;
    for (auto* lender : lenders) {
        const double expected = expectedLevel(*account, *lender, now);
        // Rounded up to whole tokens: parts that add up to slightly less than a request needs would leave it waiting.
        const double tokens = std::ceil(std::min(expected, missing * expected / sum));
        lender->isRequestPending = true;
        account->requested += tokens;
        orders.push_back({ lender->vm, { organisation, tokens }, now });
    }
    return orders;
}

void LimitTable::onGrantReply(const BorrowOrder& order, const std::optional<GrantReply>& reply)
{
    const auto now = m_clock.now();
    if (reply) {
        m_unreachable.erase(order.lender);
    } else {
        m_unreachable[order.lender] = now + unreachableTime;
    }
    const auto found = m_accounts.find(order.request.organisation);
    if (found == m_accounts.end()) {
        return;
    }
    auto* account = &found->second;
    account->requested = std::max(0.0, account->requested - order.request.tokens);
    const auto lender = std::find_if(
        account->lenders.begin(), account->lenders.end(), [&](const LenderView& it) { return it.vm == order.lender; });
    if (lender != account->lenders.end()) {
        lender->isRequestPending = false;
        if (reply) {
            lender->level = static_cast<float>(reply->lenderLevel);
            lender->isLevelKnown = true;
            lender->levelAt = now;
        }
    }
    // The lifetime starts when the request is sent. The lender received it later, so the grant ends here first.
    BorrowedGrant grant { reply ? reply->id : GrantId(), order.lender, reply ? reply->tokens : 0,
        reply ? reply->tokens : 0, order.sentAt, expiryOf(order.sentAt) };
    if (grant.tokens > 0 && now < grant.expiresAt) {
        const auto later = std::find_if(account->grants.begin(), account->grants.end(),
            [&](const BorrowedGrant& it) { return it.expiresAt > grant.expiresAt; });
        account->grants.insert(later, std::move(grant));
    }
}

void LimitTable::returnSurplus(LimitAccount& account, MonotonicTime now)
{
    const double ahead = borrowAheadTokens(account, now);
    double surplus = account.borrowed() + account.bucket.level() - account.waiting() - 1.25 * ahead;
    std::erase_if(account.grants, [&](const BorrowedGrant& grant) {
        const bool isSurplus = now >= grant.sentAt + surplusAge && grant.left <= surplus;
        if (!isSurplus && now < grant.expiresAt - returnMargin) {
            return false;
        }
        surplus -= grant.left;
        queueSettlement(grant);
        return true;
    });
}

} // namespace Pollenwind
