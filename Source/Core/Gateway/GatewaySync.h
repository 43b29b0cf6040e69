#pragma once

#include "Gateway/Commands/QuotaCommands.h"
#include "Gateway/Commands/RoutingCommands.h"
#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/FleetView.h"
#include "Gateway/OrderLease.h"
#include "Gateway/Queries/FreshnessQueries.h"
#include "Gateway/Queries/RecordCodec.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Store/Queries/StoreQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>

namespace Pollenwind {

/// Dependencies of the synchronisation with the store.
struct GatewaySyncContext {
    const Clock& clock;
    StoreQueries& store;
    const RecordCodec& codec;
    RoutingCommands& routing;
    RunnerCommands& runners;
    QuotaCommands& quota;
    FleetView& fleet;
    OrderLease& orders;
    TimelineCommands& timeline;
    MetricCommands& metrics;
};

/// Timeouts of the synchronisation.
struct GatewaySyncOptions {
    /// Longest time that a watch waits for a change. With 2.9 s, keys would be refused 0.7 s sooner after the store
    /// becomes unavailable.
    std::chrono::milliseconds watchWait { 2200 };
    /// Age of the local copy up to which a watch may wait. The rest of the key limit is for the delay of the response.
    std::chrono::milliseconds freshnessGoal { 3000 };
    /// Delay after received changes before the next watch call, so that further changes arrive in one batch.
    std::chrono::milliseconds batchDelay { 500 };
    /// Batch delay in a large fleet, where each change causes a call from every VM.
    std::chrono::milliseconds largeFleetBatchDelay { 1000 };
    /// Batch delay of the VM that gives orders, which should receive new target weights early.
    std::chrono::milliseconds holderBatchDelay { 100 };
    /// Age of the local copy from which API keys are no longer accepted.
    std::chrono::milliseconds keyLimit { 4300 };
    /// First delay after a failed call; it doubles up to the batch delay.
    std::chrono::milliseconds retryPause { 250 };
};

/// Keeps the local tables in sync with the store: reads all records once, then watches for changes. After a failed call
/// it starts again.
class GatewaySync final : public FreshnessQueries {
public:
    GatewaySync(GatewaySyncContext context, GatewaySyncOptions options)
        : m_context(context)
        , m_options(options)
    {
    }

    /// Follows the store indefinitely.
    Task<> run();

    std::chrono::nanoseconds age() const override { return m_context.clock.now() - m_freshAt; }
    bool mayAcceptKeys() const override { return m_freshAt.count() > 0 && age() < m_options.keyLimit; }

private:
    Task<bool> readAll();
    Task<> followChanges();
    /// @param writtenAfter Earliest time at which the entry may have been written; 0 when that is not known.
    void apply(const StoreEntry& entry, MonotonicTime writtenAfter);
    void applyErased(const std::string& key);
    /// Longest wait of the next watch call.
    std::chrono::milliseconds nextWait() const;
    std::chrono::milliseconds batchDelay() const;
    void setReachable(bool isReachable, std::string_view why);

    GatewaySyncContext m_context;
    GatewaySyncOptions m_options;
    std::int64_t m_revision = 0;
    /// Time up to which every change has been received; 0 before the first read.
    MonotonicTime m_freshAt { 0 };
    bool m_isReachable = false;
};

} // namespace Pollenwind
