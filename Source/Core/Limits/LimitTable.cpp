#include "Limits/LimitTable.h"

#include "Common/Digest.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    /// Fraction of its cap that a newly taken slot has until the grants of its previous holder have expired; those take
    /// up at most 3/4.
    constexpr double takenSlotCapFraction = 1 - largestLentFraction;
    /// Idle time after which the account of a full bucket is removed.
    constexpr std::chrono::seconds idleTimeout { 5 };
    /// Comparison tolerance for sums of tokens.
    constexpr double epsilon = 1e-6;
    constexpr std::chrono::milliseconds shortestRetry { 100 };
    constexpr std::chrono::milliseconds longestRetry { 60'000 };
    /// Seconds of its own demand for which a lender reserves tokens.
    constexpr double ownReserveSeconds = 0.25;

    /// Bounds on the time between two checks of the first waiting request.
    constexpr std::chrono::milliseconds shortestCheck { 1 };
    constexpr std::chrono::milliseconds longestCheck { 50 };

    double seconds(MonotonicTime duration) { return std::chrono::duration<double>(duration).count(); }

    std::unexpected<Error> rateExceeded(const LimitAccount& account, double tokens, const char* message)
    {
        auto error = fail(ErrorCode::RateExceeded, message);
        const auto wait = account.rate > 0 ? std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(
                                                 1000 * std::min(1e6, (tokens + account.waiting()) / account.rate))))
                                           : longestRetry;
        error.error().retryAfter = std::clamp(wait, shortestRetry, longestRetry);
        return error;
    }

} // namespace

LimitTable::LimitTable(const Clock& clock, const ConfigurationQueries& configuration, VmId self, ZoneId zone)
    : m_clock(clock)
    , m_configuration(configuration)
    , m_self(std::move(self))
    , m_zone(std::move(zone))
{
}

std::uint32_t LimitTable::slotCount(std::uint32_t group) const
{
    return static_cast<std::uint32_t>(
        std::count_if(m_slots.begin(), m_slots.end(), [&](const auto& it) { return it.first.group == group; }));
}

BucketLimits LimitTable::bucketLimits(std::uint32_t group, double rate, double burst, MonotonicTime now) const
{
    double fraction = 0;
    double capFraction = 0;
    for (const auto& [slot, takenAt] : m_slots) {
        if (slot.group == group) {
            fraction += m_record.layout.slotFraction();
            capFraction
                += m_record.layout.slotFraction() * (now < takenAt + lenderGrantLifetime ? takenSlotCapFraction : 1);
        }
    }
    return { rate * fraction, burst * capFraction };
}

double LimitTable::accruedTokens(std::uint32_t group, double rate, MonotonicTime now) const
{
    double accrued = 0;
    for (const auto& [slot, takenAt] : m_slots) {
        if (slot.group == group) {
            accrued += rate * m_record.layout.slotFraction() * seconds(now - takenAt) * (1 - clockRateTolerance);
        }
    }
    return accrued;
}

LimitAccount* LimitTable::findAccount(const OrganisationId& organisation, MonotonicTime now)
{
    const auto configuration = m_configuration.current();
    const auto spec = configuration->document.organisations.find(organisation);
    if (spec == configuration->document.organisations.end()) {
        return nullptr;
    }
    const auto group = shareGroupOf(organisation, m_record.layout);
    const auto limits = bucketLimits(group, spec->second.rate, spec->second.burst, now);
    auto it = m_accounts.find(organisation);
    if (it == m_accounts.end()) {
        const TokenBucket bucket(now, limits, accruedTokens(group, spec->second.rate, now));
        it = m_accounts.emplace(organisation, LimitAccount(spec->second, bucket)).first;
        it->second.group = group;
        it->second.slots = slotCount(group);
        it->second.usedAt = now;
    }
    auto& account = it->second;
    account.rate = spec->second.rate;
    account.burst = spec->second.burst;
    account.bucket.refill(now, limits);
    updateLenders(account);
    dropExpired(account, now);
    return &account;
}

void LimitTable::dropExpired(LimitAccount& account, MonotonicTime now)
{
    std::erase_if(account.grants, [&](const BorrowedGrant& grant) { return now >= grant.expiresAt; });
}

void LimitTable::adoptShares(const ShareRecord& record, const std::set<ShareSlotId>& used)
{
    const auto now = m_clock.now();
    const auto before = m_slots;
    std::erase_if(m_slots, [&](const auto& it) { return !used.contains(it.first); });
    for (const auto& slot : used) {
        m_slots.emplace(slot, now);
    }
    m_record = record;
    ++m_sharesVersion;
    for (auto& [organisation, account] : m_accounts) {
        const auto kept = static_cast<double>(std::count_if(before.begin(), before.end(),
            [&](const auto& it) { return it.first.group == account.group && m_slots.contains(it.first); }));
        if (kept < account.slots) {
            account.bucket.shrink(
                now, kept / account.slots, bucketLimits(account.group, account.rate, account.burst, now));
        }
        account.slots = slotCount(account.group);
    }
}

void LimitTable::adoptNewRecord(const ShareRecord& record, const std::set<ShareSlotId>& used)
{
    const auto heldSince = m_clock.now() - lenderGrantLifetime;
    for (const auto& slot : used) {
        m_slots.emplace(slot, heldSince);
    }
    adoptShares(record, used);
}

Outcome<WaiterId> LimitTable::enqueue(const OrganisationId& organisation, double tokens, MonotonicTime deadline)
{
    const auto now = m_clock.now();
    auto* account = findAccount(organisation, now);
    if (account == nullptr) {
        return fail(ErrorCode::Forbidden, "the organisation is not configured");
    }
    if (tokens > largestLentFraction * account->burst) {
        return fail(
            ErrorCode::RequestExceedsBurst, "the request needs more tokens than 3/4 of the organisation's burst");
    }
    account->usedAt = now;
    account->demand.addRequest(now, tokens);
    // Until the first allocation record has been read, the reachable part of the burst is unknown, so the request waits
    // up to its deadline.
    const bool isAllocationKnown = m_sharesVersion > 0;
    if (isAllocationKnown
        && tokens > largestLentFraction * account->burst * reachableFraction(*account, now) + epsilon) {
        return rateExceeded(*account, tokens, "the reachable VMs hold too small a part of the organisation's burst");
    }
    // The whole fleet can admit no more than this up to the deadline.
    if (account->waiting() + tokens > account->burst + account->rate * seconds(deadline - now)) {
        return rateExceeded(*account, tokens, "the organisation's rate is exhausted");
    }
    const WaiterId id(m_nextWaiter++);
    account->waiters.push_back({ id, tokens, deadline });
    return id;
}

Outcome<std::optional<ReservationId>> LimitTable::poll(const OrganisationId& organisation, WaiterId waiter)
{
    const auto now = m_clock.now();
    auto* account = findAccount(organisation, now);
    if (account == nullptr) {
        abandon(organisation, waiter);
        return fail(ErrorCode::Forbidden, "the organisation is not configured");
    }
    auto& waiters = account->waiters;
    const auto it = std::find_if(waiters.begin(), waiters.end(), [&](const auto& other) { return other.id == waiter; });
    if (it == waiters.end()) {
        return fail(ErrorCode::Cancelled, "the request is no longer queued");
    }
    const double tokens = it->tokens;
    if (it == waiters.begin() && account->bucket.level() + account->borrowed() >= tokens) {
        waiters.erase(it);
        return std::optional(spend(organisation, *account, tokens, now));
    }
    if (now >= it->deadline) {
        waiters.erase(it);
        return rateExceeded(*account, tokens, "the organisation's rate is exhausted");
    }
    return std::optional<ReservationId>();
}

ReservationId LimitTable::spend(
    const OrganisationId& organisation, LimitAccount& account, double tokens, MonotonicTime now)
{
    const double own = std::min(tokens, account.bucket.level());
    account.bucket.spend(own);
    Reservation reservation { organisation, tokens, now, GrantId(), 0 };
    double rest = tokens - own;
    for (auto& grant : account.grants) {
        const double part = std::min(rest, grant.left);
        grant.left -= part;
        rest -= part;
        if (part > 0) {
            reservation.grant = grant.id;
            reservation.fromGrant = part;
        }
        if (grant.left <= epsilon) {
            queueSettlement(grant);
        }
    }
    std::erase_if(account.grants, [](const BorrowedGrant& grant) { return grant.left <= epsilon; });
    account.usedAt = now;
    const ReservationId id(m_nextReservation++);
    m_reservations.emplace(id, std::move(reservation));
    return id;
}

void LimitTable::queueSettlement(const BorrowedGrant& grant)
{
    m_settlements.push_back({ grant.lender, { grant.id, grant.tokens - grant.left } });
}

MonotonicTime LimitTable::nextCheck(const OrganisationId& organisation, WaiterId waiter) const
{
    const auto now = m_clock.now();
    const auto it = m_accounts.find(organisation);
    if (it == m_accounts.end() || it->second.waiters.empty()) {
        return now + shortestCheck;
    }
    const auto& account = it->second;
    const auto& first = account.waiters.front();
    if (first.id != waiter) {
        const auto own = std::find_if(
            account.waiters.begin(), account.waiters.end(), [&](const auto& other) { return other.id == waiter; });
        return own == account.waiters.end() ? now + shortestCheck : std::max(own->deadline, now + shortestCheck);
    }
    const double missing = first.tokens - account.bucket.level() - account.borrowed();
    const double wait = account.bucket.limits().rate > 0 ? missing / account.bucket.limits().rate : 1;
    const auto untilRefill = std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 * std::clamp(wait, 0.0, 1.0)));
    return now
        + std::clamp<MonotonicTime>(
            std::min<MonotonicTime>(untilRefill, first.deadline - now), shortestCheck, longestCheck);
}

void LimitTable::abandon(const OrganisationId& organisation, WaiterId waiter)
{
    const auto it = m_accounts.find(organisation);
    if (it != m_accounts.end()) {
        std::erase_if(it->second.waiters, [&](const auto& other) { return other.id == waiter; });
    }
}

std::optional<WaiterId> LimitTable::firstWaiter(const OrganisationId& organisation) const
{
    const auto it = m_accounts.find(organisation);
    return it == m_accounts.end() || it->second.waiters.empty() ? std::nullopt
                                                                : std::optional(it->second.waiters.front().id);
}

std::optional<OrganisationId> LimitTable::settleReservation(ReservationId id, double used)
{
    const auto found = m_reservations.find(id);
    if (found == m_reservations.end()) {
        return std::nullopt;
    }
    const auto reservation = std::move(found->second);
    m_reservations.erase(found);
    double unused = std::clamp(reservation.tokens - used, 0.0, reservation.tokens);
    // An account is removed only when its bucket is full, so the refund would not have fitted.
    if (unused <= 0 || !m_accounts.contains(reservation.organisation)) {
        return std::nullopt;
    }
    const auto now = m_clock.now();
    auto* account = findAccount(reservation.organisation, now);
    if (account == nullptr) {
        return std::nullopt;
    }
    for (auto& grant : account->grants) {
        if (grant.id == reservation.grant) {
            const double part = std::min({ unused, reservation.fromGrant, grant.tokens - grant.left });
            grant.left += part;
            unused -= part;
        }
    }
    // Tokens from a grant that has ended cannot be refunded to it. This VM's bucket may take them: the headroom that it
    // had throughout the reservation went unused in the whole fleet.
    account->bucket.refund(now, reservation.at, unused);
    return reservation.organisation;
}

std::vector<SettlementOrder> LimitTable::takeSettlements() { return std::exchange(m_settlements, {}); }

GrantReply LimitTable::lend(const VmId& borrower, const GrantRequest& request)
{
    const auto now = m_clock.now();
    expireLentGrants(now);
    auto* account = findAccount(request.organisation, now);
    if (account == nullptr || account->slots == 0) {
        return {};
    }
    account->usedAt = now;
    auto& bucket = account->bucket;
    const double reserve = std::max(account->waiting(),
        std::min(bucket.level() / 2, std::min(account->demand.rate(now), account->rate) * ownReserveSeconds));
    const double spare = std::min(bucket.lendable(), bucket.level() - reserve);
    const double tokens = std::min(request.tokens, spare);
    // A very small grant is not worth the messages that it costs.
    if (!(tokens > 0) || tokens < std::min(request.tokens, bucket.limits().cap / 100)) {
        return { GrantId(), 0, std::max(0.0, spare) };
    }
    bucket.lend(tokens);
    const GrantId id(randomBits());
    m_lentGrants.emplace(id, LentGrant { request.organisation, borrower, tokens });
    m_lentExpiries.emplace_back(now + lenderGrantLifetime, id);
    return { id, tokens, std::max(0.0, spare - tokens) };
}

void LimitTable::settle(const VmId& borrower, const GrantSettlement& settlement)
{
    const auto now = m_clock.now();
    expireLentGrants(now);
    const auto it = m_lentGrants.find(settlement.id);
    if (it == m_lentGrants.end() || it->second.borrower != borrower) {
        return;
    }
    if (auto* account = findAccount(it->second.organisation, now)) {
        const double tokens = it->second.tokens;
        account->bucket.endGrant(tokens, tokens - std::clamp(settlement.spent, 0.0, tokens));
    }
    m_lentGrants.erase(it);
}

void LimitTable::expireLentGrants(MonotonicTime now)
{
    while (!m_lentExpiries.empty() && m_lentExpiries.front().first <= now) {
        const auto it = m_lentGrants.find(m_lentExpiries.front().second);
        if (it != m_lentGrants.end()) {
            const auto account = m_accounts.find(it->second.organisation);
            if (account != m_accounts.end()) {
                account->second.bucket.endGrant(it->second.tokens, 0);
            }
            m_lentGrants.erase(it);
        }
        m_lentExpiries.pop_front();
    }
}

bool LimitTable::isIdle(const LimitAccount& account, MonotonicTime now) const
{
    return now - account.usedAt > idleTimeout && account.waiters.empty() && account.grants.empty()
        && account.requested <= 0 && account.bucket.outstanding() <= epsilon && account.bucket.headroom() <= epsilon;
}

std::vector<OrganisationId> LimitTable::sweep()
{
    const auto now = m_clock.now();
    expireLentGrants(now);
    std::vector<OrganisationId> active;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const bool isConfigured = findAccount(it->first, now) != nullptr;
        auto& account = it->second;
        if (!isConfigured) {
            // Kept until the bucket is full, so that an organisation that is removed and added again gets no second
            // burst.
            account.bucket.refill(now, account.bucket.limits());
            dropExpired(account, now);
        }
        if (isIdle(account, now)) {
            it = m_accounts.erase(it);
            continue;
        }
        returnSurplus(account, now);
        if (isConfigured) {
            active.push_back(it->first);
        }
        ++it;
    }
    return active;
}

std::vector<LimitStatus> LimitTable::status() const
{
    std::vector<LimitStatus> all;
    for (const auto& [organisation, account] : m_accounts) {
        all.push_back(
            { organisation, account.bucket.level(), account.bucket.outstanding(), account.borrowed(), account.slots });
    }
    return all;
}

ShareStatus LimitTable::shares() const
{
    ShareStatus status { m_record, {} };
    for (const auto& [slot, takenAt] : m_slots) {
        status.used.push_back(slot);
    }
    return status;
}

} // namespace Pollenwind
