#include "Metrics/MetricTable.h"

#include <boost/histogram.hpp>

#include <sstream>
#include <vector>

namespace Pollenwind {

namespace bh = boost::histogram;

namespace {

    // 60 logarithmic bins from 100 microseconds to 1,000 seconds: each is about 30% wider than the one below.
    constexpr unsigned binCount = 60;
    constexpr double lowestSeconds = 1e-4;
    constexpr double highestSeconds = 1e3;

    using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
    using Histogram = decltype(bh::make_histogram(LogAxis(binCount, lowestSeconds, highestSeconds)));

    Histogram makeHistogram() { return bh::make_histogram(LogAxis(binCount, lowestSeconds, highestSeconds)); }

    /// Number of samples up to and including a bin. Bin -1 holds those below the range.
    double countThrough(const Histogram& histogram, int bin)
    {
        double n = 0;
        for (int i = -1; i <= bin; ++i) {
            n += histogram.at(i);
        }
        return n;
    }

} // namespace

struct MetricTable::Histograms {
    std::vector<Histogram> byDistribution;
    std::vector<double> sums;
};

MetricTable::MetricTable()
    : m_histograms(std::make_unique<Histograms>())
{
    const auto n = EnumTable<Distribution>::rows.size();
    m_histograms->byDistribution.assign(n, makeHistogram());
    m_histograms->sums.assign(n, 0.0);
}

MetricTable::~MetricTable() = default;

void MetricTable::count(Counter counter, std::uint64_t n) { m_counters[static_cast<std::size_t>(counter)] += n; }

void MetricTable::set(Gauge gauge, std::uint64_t value) { m_gauges[static_cast<std::size_t>(gauge)] = value; }

void MetricTable::observe(Distribution distribution, std::chrono::nanoseconds sample)
{
    const auto seconds = std::chrono::duration<double>(sample).count();
    const auto i = static_cast<std::size_t>(distribution);
    m_histograms->byDistribution[i](seconds);
    m_histograms->sums[i] += seconds;
}

std::uint64_t MetricTable::total(Counter counter) const { return m_counters[static_cast<std::size_t>(counter)]; }

double MetricTable::quantile(Distribution distribution, double quantile) const
{
    const auto& histogram = m_histograms->byDistribution[static_cast<std::size_t>(distribution)];
    const double all = countThrough(histogram, static_cast<int>(binCount));
    if (all == 0) {
        return 0;
    }
    double n = histogram.at(-1);
    if (n >= quantile * all) {
        return lowestSeconds;
    }
    for (int i = 0; i < static_cast<int>(binCount); ++i) {
        n += histogram.at(i);
        if (n >= quantile * all) {
            return histogram.axis().bin(i).upper();
        }
    }
    return highestSeconds;
}

std::string MetricTable::prometheusText() const
{
    std::ostringstream out;
    for (const auto& row : EnumTable<Counter>::rows) {
        out << "# TYPE pollenwind_" << row.name << " counter\n";
        out << "pollenwind_" << row.name << " " << total(row.value) << "\n";
    }
    for (const auto& row : EnumTable<Gauge>::rows) {
        out << "# TYPE pollenwind_" << row.name << " gauge\n";
        out << "pollenwind_" << row.name << " " << m_gauges[static_cast<std::size_t>(row.value)] << "\n";
    }
    for (const auto& row : EnumTable<Distribution>::rows) {
        const auto index = static_cast<std::size_t>(row.value);
        const auto& histogram = m_histograms->byDistribution[index];
        out << "# TYPE pollenwind_" << row.name << " histogram\n";
        double n = histogram.at(-1);
        for (int i = 0; i < static_cast<int>(binCount); ++i) {
            n += histogram.at(i);
            out << "pollenwind_" << row.name << "_bucket{le=\"" << histogram.axis().bin(i).upper() << "\"} " << n
                << "\n";
        }
        const double all = n + histogram.at(static_cast<int>(binCount));
        out << "pollenwind_" << row.name << "_bucket{le=\"+Inf\"} " << all << "\n";
        out << "pollenwind_" << row.name << "_sum " << m_histograms->sums[index] << "\n";
        out << "pollenwind_" << row.name << "_count " << all << "\n";
    }
    return out.str();
}

} // namespace Pollenwind
