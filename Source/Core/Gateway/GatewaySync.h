#pragma once

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

/// What the synchronisation with the store reads and changes.
struct GatewaySyncContext {
    const Clock& clock;
    StoreQueries& store;
    const RecordCodec& codec;
    RoutingCommands& routing;
    RunnerCommands& runners;
    FleetView& fleet;
    OrderLease& orders;
    TimelineCommands& timeline;
    MetricCommands& metrics;
};

/// Timeouts of the synchronisation.
struct GatewaySyncOptions {
    /// Longest time that a watch waits for a change. With 2.9 s keys are refused 0.7 s sooner after the store is lost.
    std::chrono::milliseconds watchWait { 2200 };
    /// Age of the knowledge up to which a watch may wait; the rest of the key limit is for the answer's way.
    std::chrono::milliseconds freshnessGoal { 3000 };
    /// Pause after changes, in which further ones gather for the next call.
    std::chrono::milliseconds batchDelay { 500 };
    /// The same in a large fleet, where each change is a call of every VM.
    std::chrono::milliseconds largeFleetBatchDelay { 1000 };
    /// The same for the VM that gives orders, which is to hear of new weights soon.
    std::chrono::milliseconds holderBatchDelay { 100 };
    /// Time without proof of freshness after which API keys are no longer accepted.
    std::chrono::milliseconds keyLimit { 4300 };
    /// Pause after a failed call; it doubles up to the pause in which changes gather.
    std::chrono::milliseconds retryPause { 250 };
};

/// Follows the store: reads everything once, then the changes.
class GatewaySync final : public FreshnessQueries {
public:
    GatewaySync(GatewaySyncContext context, GatewaySyncOptions options)
        : m_context(context)
        , m_options(options)
    {
    }

    /// Follows the store for the life of the process.
    Task<> run();

    std::chrono::nanoseconds age() const override { return m_context.clock.now() - m_freshAt; }
    bool mayAcceptKeys() const override { return m_freshAt.count() > 0 && age() < m_options.keyLimit; }

private:
    Task<bool> readAll();
    Task<> followChanges();
    /// @param writtenAfter Moment after which the entry was written; 0 when that is not known.
    void apply(const StoreEntry& entry, MonotonicTime writtenAfter);
    void applyErased(const std::string& key);
    std::chrono::milliseconds nextWait() const;
    std::chrono::milliseconds batchDelay() const;
    void setReachable(bool isReachable, std::string_view why);

    GatewaySyncContext m_context;
    GatewaySyncOptions m_options;
    std::int64_t m_revision = 0;
    /// Last moment up to which every change is known; 0 before the first read.
    MonotonicTime m_freshAt { 0 };
    bool m_isReachable = false;
};

} // namespace Pollenwind
