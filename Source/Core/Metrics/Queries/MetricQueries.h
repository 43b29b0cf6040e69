#pragma once

#include "Metrics/Counter.h"

#include <cstdint>
#include <string>

namespace Pollenwind {

/// Reads measurements.
class MetricQueries {
public:
    MetricQueries() = default;
    MetricQueries(const MetricQueries&) = delete;
    MetricQueries& operator=(const MetricQueries&) = delete;
    virtual ~MetricQueries() = default;

    /// Value of a counter since the start of the process.
    virtual std::uint64_t total(Counter counter) const = 0;

    /// Quantile of a distribution.
    /// @param quantile From 0 to 1.
    /// @return Upper edge of the bin that holds the quantile, in seconds; 0 without samples.
    virtual double quantile(Distribution distribution, double quantile) const = 0;

    /// All measurements in the Prometheus text format.
    virtual std::string prometheusText() const = 0;
};

} // namespace Pollenwind
