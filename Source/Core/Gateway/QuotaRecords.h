#pragma once

#include "Common/Clock.h"
#include "Common/Task.h"
#include "Gateway/Commands/QuotaRecordCommands.h"
#include "Gateway/FleetQuota.h"
#include "Gateway/FleetView.h"
#include "Gateway/QuotaRecordPolicy.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Store/Commands/StoreCommands.h"

#include <optional>

namespace Pollenwind {

/// Keeps the record of the organisations in heavy use in the store of a large fleet, for a restart of all VMs, and
/// starts the quotas of this process with it. QuotaRecordPolicy makes the decisions.
///
/// The record has no lease: it is one key, and its time of day tells whether it may be used. Each write names the
/// revision that it replaces, so that a late write of a VM that was paused cannot replace a later record.
class QuotaRecords final : public QuotaRecordCommands {
public:
    QuotaRecords(
        const Clock& clock, StoreCommands& store, FleetQuota& quota, const FleetView& fleet, MetricCommands& metrics);

    void updateRecord(const std::string& value, std::int64_t revision) override;
    void markRecordErased() override;
    void endRead(std::int64_t position) override;

    /// Writes the record when it is due for this VM, indefinitely.
    Task<> run();
    /// Writes the record if it is due for this VM now.
    Task<> writeDue();

private:
    void startQuota(std::int64_t position);
    /// Reports debts that were subtracted after all.
    void recordProbations();

    const Clock& m_clock;
    StoreCommands& m_store;
    FleetQuota& m_quota;
    const FleetView& m_fleet;
    MetricCommands& m_metrics;
    QuotaRecordPolicy m_policy;
    /// The record in the store; nothing if it is missing or unreadable.
    std::optional<QuotaRecord> m_stored;
    /// Revision of the key in the store; 0 if it is absent.
    std::int64_t m_revision = 0;
    /// Latest known position of the store; 0 before the first read.
    std::int64_t m_position = 0;
    std::size_t m_failedProbations = 0;
};

} // namespace Pollenwind
