#include "Gateway/QuotaRecords.h"

#include "Common/Sleep.h"
#include "Gateway/GatewayKeys.h"
#include "Timeline/Log.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Reports arrive as often, and an organisation that begins to use its burst is recorded so much later at most.
    constexpr std::chrono::milliseconds lookInterval { 250 };

} // namespace

QuotaRecords::QuotaRecords(
    const Clock& clock, StoreCommands& store, FleetQuota& quota, const FleetView& fleet, MetricCommands& metrics)
    : m_clock(clock)
    , m_store(store)
    , m_quota(quota)
    , m_fleet(fleet)
    , m_metrics(metrics)
    , m_policy(clock)
{
}

void QuotaRecords::updateRecord(const std::string& value, std::int64_t revision)
{
    if (revision <= m_revision) {
        return;
    }
    auto record = QuotaRecordCodec::decode(value);
    if (!record) {
        logStateChange(
            "record-unreadable", { { "key", std::string(quotaRecordKey) }, { "cause", record.error().message } });
    }
    m_stored = record ? std::optional(*std::move(record)) : std::nullopt;
    m_revision = revision;
    m_policy.setKnown(m_stored);
}

void QuotaRecords::markRecordErased()
{
    m_stored.reset();
    m_revision = 0;
    m_policy.setKnown(std::nullopt);
}

void QuotaRecords::endRead(std::int64_t position)
{
    if (StorePosition::isBefore(m_revision, StorePosition::eraOf(position))) {
        // The copy from which the store was restored has no such record.
        markRecordErased();
    }
    if (m_position == 0) {
        startQuota(position);
    }
    m_position = std::max(m_position, position);
}

void QuotaRecords::startQuota(std::int64_t position)
{
    const auto use = m_policy.useOf(m_stored, StorePosition::eraOf(position), m_quota.rulesDigest());
    EventFields fields { { "record", std::string(nameOf(use)) } };
    if (m_stored) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.wallNow() - m_stored->writtenAt);
        fields.emplace_back("age_ms", std::to_string(age.count()));
        fields.emplace_back("heavy", std::to_string(m_stored->heavy.size()));
    }
    if (use == QuotaRecordUse::Used) {
        const auto count = m_quota.startWithRecentUse({ m_stored->heavy.begin(), m_stored->heavy.end() });
        m_policy.setStartedWithKnown();
        fields.emplace_back("without_debt", std::to_string(count));
        m_metrics.set(Gauge::QuotasStartedWithoutDebt, count);
    }
    if (use == QuotaRecordUse::Spent) {
        m_quota.startAfterRepeatedRestart();
    }
    logStateChange("quota-start", fields);
}

void QuotaRecords::recordProbations()
{
    const auto failed = m_quota.failedProbations();
    if (failed == m_failedProbations) {
        return;
    }
    const auto more = failed - std::exchange(m_failedProbations, failed);
    m_metrics.count(Counter::QuotaProbationsFailed, more);
    logStateChange("quota-probation-failed", { { "organisations", std::to_string(more) } });
}

Task<> QuotaRecords::writeDue()
{
    recordProbations();
    if (!m_fleet.isLarge() || m_position == 0) {
        co_return;
    }
    const auto record
        = m_policy.due(m_quota, m_fleet, StorePosition::eraOf(m_position), std::min(1.0, m_fleet.reachableShare()));
    if (!record) {
        co_return;
    }
    const auto swapped
        = co_await m_store.compareAndSwap(std::string(quotaRecordKey), m_revision, QuotaRecordCodec::encode(*record));
    m_metrics.count(swapped && swapped->isSwapped ? Counter::QuotaRecordsWritten : Counter::QuotaRecordWritesFailed);
    if (!swapped) {
        // If it has taken effect, the watch shows the record. The next one follows after minInterval.
        co_return;
    }
    if (swapped->isSwapped) {
        if (swapped->revision > m_revision) {
            m_stored = record;
            m_revision = swapped->revision;
            m_policy.setKnown(m_stored);
        }
    } else if (swapped->found) {
        updateRecord(swapped->found->value, swapped->found->modRevision);
    } else {
        markRecordErased();
    }
}

Task<> QuotaRecords::run()
{
    for (;;) {
        co_await sleepFor(lookInterval);
        co_await writeDue();
    }
}

} // namespace Pollenwind
