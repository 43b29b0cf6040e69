#include "Dispatch/StoreClaims.h"

#include "Dispatch/ClaimCodec.h"
#include "Dispatch/Queries/ClaimRule.h"

namespace Pollenwind {

namespace {

    // A lease is used for new claims for an hour, so every claim is kept for at least the documented 24 hours.
    constexpr std::chrono::hours leaseReuseTime { 1 };
    constexpr std::chrono::hours leaseTimeToLive { 25 };

    // Time after the call's deadline for its holder to store the outcome, including clock skew between VMs.
    constexpr std::chrono::seconds outcomeWriteAllowance { 5 };

    constexpr int maxWrites = 3;
    constexpr std::size_t maxUnstarted = 4096;

    std::unexpected<Error> storeUnavailable(const Error& error)
    {
        return fail(ErrorCode::StoreUnavailable, "the call could not be claimed: " + error.message);
    }

} // namespace

StoreClaims::StoreClaims(const Clock& clock, StoreCommands& store, MetricCommands& metrics)
    : m_clock(clock)
    , m_store(store)
    , m_metrics(metrics)
{
}

Task<Outcome<LeaseId>> StoreClaims::currentLease()
{
    while (m_grantWait) {
        const auto wait = m_grantWait;
        co_await wait->async_wait(asTuple);
    }
    if (m_lease.value() != 0 && m_clock.now() - m_leaseGrantedAt < leaseReuseTime) {
        co_return m_lease;
    }
    co_return co_await grantLease();
}

Task<Outcome<LeaseId>> StoreClaims::grantLease()
{
    const auto wait = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor);
    wait->expires_at(asio::steady_timer::time_point::max());
    m_grantWait = wait;
    const auto requestedAt = m_clock.now();
    const auto lease = co_await m_store.grantLease(leaseTimeToLive);
    if (lease) {
        m_lease = *lease;
        m_leaseGrantedAt = requestedAt;
    }
    m_grantWait.reset();
    wait->cancel();
    co_return lease;
}

Task<Outcome<SwapResult>> StoreClaims::write(std::string key, std::string value)
{
    Outcome<SwapResult> swapped;
    for (int n = 0; n < maxWrites; ++n) {
        const auto lease = co_await currentLease();
        if (!lease) {
            co_return std::unexpected(lease.error());
        }
        swapped = co_await m_store.compareAndSwap(key, 0, value, *lease);
        if (swapped) {
            co_return swapped;
        }
        if (swapped.error().runState == RunState::NotRun && !co_await dropExpiredLease(*lease)) {
            co_return swapped;
        }
        // The write may have succeeded although its response was lost. Writing again reads the record back: the store
        // refuses to create the key twice and returns the existing record.
    }
    co_return swapped;
}

Task<bool> StoreClaims::dropExpiredLease(LeaseId lease)
{
    const auto renewed = co_await m_store.keepAlive(lease);
    const bool isExpired = !renewed && renewed.error().code == ErrorCode::NotFound;
    if (isExpired && lease == m_lease) {
        m_lease = {};
    }
    co_return isExpired;
}

ClaimAnswer StoreClaims::evaluate(const ClaimTicket& ticket, const StoreEntry& found)
{
    const auto record = ClaimCodec::decode(found.value);
    if (!record) {
        return { ClaimResult::OutcomeUnknown };
    }
    const bool isUnstarted = m_unstarted.contains(record->attempt) && record->call == ticket.record.call;
    if (record->attempt == ticket.record.attempt || isUnstarted) {
        return { ClaimResult::Created, { ticket.key, found.modRevision, *record } };
    }
    auto result = evaluateClaim(*record, ticket.record.call, m_clock.wallNow());
    if (result == ClaimResult::OutcomeUnknown && m_running.contains(record->attempt)) {
        result = ClaimResult::InProgress;
    }
    return { result, {}, record->answer };
}

Task<Outcome<ClaimAnswer>> StoreClaims::claim(ClaimRequest request)
{
    ClaimTicket ticket;
    ticket.key = ClaimCodec::keyOf(request.organisation, request.idempotencyKey);
    ticket.record.attempt = randomToken();
    ticket.record.call = request.call;
    ticket.record.runsUntil = m_clock.wallNow() + (request.deadline - m_clock.now()) + outcomeWriteAllowance;
    const auto swapped = co_await write(ticket.key, ClaimCodec::encode(ticket.record));
    if (!swapped) {
        if (m_unstarted.size() < maxUnstarted) {
            m_unstarted.insert(ticket.record.attempt);
        }
        co_return storeUnavailable(swapped.error());
    }
    ClaimAnswer answer;
    if (swapped->isSwapped) {
        ticket.revision = swapped->revision;
        answer = { ClaimResult::Created, ticket };
    } else if (swapped->found) {
        answer = evaluate(ticket, *swapped->found);
    } else {
        // The claim was released between the comparison and the read.
        co_return fail(ErrorCode::StoreUnavailable, "the call could not be claimed: the record changed concurrently");
    }
    if (answer.result == ClaimResult::Created) {
        m_unstarted.erase(answer.ticket.record.attempt);
        m_running.insert(answer.ticket.record.attempt);
        m_metrics.count(Counter::ClaimsCreated);
    } else if (answer.result == ClaimResult::Replay) {
        m_metrics.count(Counter::ClaimsReplayed);
    }
    co_return answer;
}

Task<Outcome<void>> StoreClaims::complete(ClaimTicket ticket, std::optional<PlainAnswer> answer)
{
    const auto value = ClaimCodec::encode(finishedRecord(ticket.record, std::move(answer)));
    Outcome<SwapResult> swapped = fail(ErrorCode::StoreUnavailable, "not written");
    for (int n = 0; n < maxWrites && !swapped; ++n) {
        swapped = co_await m_store.compareAndSwap(ticket.key, ticket.revision, value, m_lease);
    }
    m_running.erase(ticket.record.attempt);
    if (!swapped) {
        co_return std::unexpected(swapped.error());
    }
    co_return Outcome<void> {};
}

Task<Outcome<void>> StoreClaims::release(ClaimTicket ticket)
{
    Outcome<SwapResult> erased = fail(ErrorCode::StoreUnavailable, "not erased");
    for (int n = 0; n < maxWrites && !erased; ++n) {
        erased = co_await m_store.compareAndErase(ticket.key, ticket.revision);
    }
    m_running.erase(ticket.record.attempt);
    if (!erased) {
        // The erasure may still take effect, so this process must not use the claim for a repeated request either.
        co_return std::unexpected(erased.error());
    }
    co_return Outcome<void> {};
}

} // namespace Pollenwind
