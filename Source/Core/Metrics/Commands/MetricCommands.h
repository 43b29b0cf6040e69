#pragma once

#include "Metrics/Counter.h"

#include <chrono>
#include <cstdint>

namespace Pollenwind {

/// Records measurements.
class MetricCommands {
public:
    MetricCommands() = default;
    MetricCommands(const MetricCommands&) = delete;
    MetricCommands& operator=(const MetricCommands&) = delete;
    virtual ~MetricCommands() = default;

    /// Adds to a counter.
    virtual void count(Counter counter, std::uint64_t n = 1) = 0;

    /// Sets a gauge.
    virtual void set(Gauge gauge, std::uint64_t value) = 0;

    /// Adds a sample to a distribution.
    virtual void observe(Distribution distribution, std::chrono::nanoseconds sample) = 0;
};

} // namespace Pollenwind
