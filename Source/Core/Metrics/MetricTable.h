#pragma once

#include "Metrics/Commands/MetricCommands.h"
#include "Metrics/Queries/MetricQueries.h"

#include <array>
#include <memory>

namespace Pollenwind {

/// Counters and distributions of this process.
class MetricTable final : public MetricCommands, public MetricQueries {
public:
    MetricTable();
    ~MetricTable() override;

    void count(Counter counter, std::uint64_t n = 1) override;
    void set(Gauge gauge, std::uint64_t value) override;
    void observe(Distribution distribution, std::chrono::nanoseconds sample) override;
    std::uint64_t total(Counter counter) const override;
    double quantile(Distribution distribution, double quantile) const override;
    std::string prometheusText() const override;

private:
    struct Histograms;
    std::array<std::uint64_t, EnumTable<Counter>::rows.size()> m_counters {};
    std::array<std::uint64_t, EnumTable<Gauge>::rows.size()> m_gauges {};
    std::unique_ptr<Histograms> m_histograms;
};

} // namespace Pollenwind
