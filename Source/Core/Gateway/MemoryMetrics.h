#pragma once

#include "Common/MemoryBudget.h"
#include "Metrics/Commands/MetricCommands.h"

#include <array>
#include <cstdint>

namespace Pollenwind {

/// Publishes the memory budget of the process as metrics.
class MemoryMetrics {
public:
    /// @param budget Must outlive this object.
    MemoryMetrics(const MemoryBudget& budget, MetricCommands& metrics)
        : m_budget(budget)
        , m_metrics(metrics)
    {
    }

    /// Sets the gauges, and counts the refusals since the last call.
    void update();

private:
    const MemoryBudget& m_budget;
    MetricCommands& m_metrics;
    /// Refusals that were counted, by use.
    std::array<std::uint64_t, EnumTable<MemoryUse>::rows.size()> m_counted {};
};

} // namespace Pollenwind
