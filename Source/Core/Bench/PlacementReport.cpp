#include "Bench/PlacementReport.h"

#include "Bench/PlacementPlot.h"

#include <fstream>
#include <iomanip>

namespace Pollenwind::Bench {

namespace {

    /// Variant of the cost policy with one part disabled.
    struct Variant {
        std::string name;
        void (*change)(SimulationOptions&);
    };

    const std::vector<Variant>& variants()
    {
        static const std::vector<Variant> all {
            { "no events", [](SimulationOptions& it) { it.index.usesEvents = false; } },
            { "no placements", [](SimulationOptions& it) { it.index.usesPlacements = false; } },
            { "no answers", [](SimulationOptions& it) { it.index.usesCachedTokenCounts = false; } },
            { "no queue term", [](SimulationOptions& it) { it.cost.usesQueue = false; } },
            { "no engine limit", [](SimulationOptions& it) { it.cost.usesPreferredEngines = false; } },
        };
        return all;
    }

    /// Finds the highest request rate at which the oracle policy leaves the engines idle for at least 3% of the time.
    double findCapacity(SimulationOptions options)
    {
        constexpr int steps = 8;
        constexpr double saturated = 0.97;
        options.policy = PolicyKind::Oracle;
        double low = 1;
        double high = 20.0 * static_cast<double>(options.shape.engines);
        for (int i = 0; i < steps; ++i) {
            options.rate = (low + high) / 2;
            (PlacementSimulation(options).run().busy < saturated ? low : high) = options.rate;
        }
        return low;
    }

    double capacityOf(WorkloadKind kind, const ReportOptions& options)
    {
        SimulationOptions run;
        run.shape = shapeOf(kind);
        run.seed = options.seed;
        run.seconds = options.seconds;
        run.cost = options.cost;
        return findCapacity(run);
    }

    void printRow(std::ostream& out, const std::string& name, const SimulationResult& it)
    {
        out << std::left << std::setw(16) << name << std::right << std::fixed << std::setprecision(2) << std::setw(8)
            << 100 * it.hitRate << std::setw(8) << 100 * it.wasted << std::setprecision(0) << std::setw(9)
            << 1000 * it.p50 << std::setw(9) << 1000 * it.p99 << std::setw(9) << 1000 * it.worstP99
            << std::setprecision(2) << std::setw(9) << 100 * it.worstHitRate << std::setprecision(0) << std::setw(7)
            << 100 * it.busy << std::setw(7) << 100 * it.crossZone << "\n"
            << std::flush;
    }

    void printHead(std::ostream& out, std::string_view workload, double load, double rate)
    {
        out << "\n"
            << workload << ", load " << std::fixed << std::setprecision(0) << 100 * load
            << "% of the highest rate that the oracle sustains, " << std::setprecision(1) << rate << " requests/s\n"
            << "policy             hit %  wast.%   p50 ms   p99 ms worst99 worsthit   busy  xzone\n";
    }

} // namespace

bool reportPlacement(const ReportOptions& options, std::ostream& out)
{
    std::vector<PlotBar> bars;
    for (const auto& workload : EnumTable<WorkloadKind>::rows) {
        const double capacity = capacityOf(workload.value, options);
        for (const double load : { 0.70, 0.95 }) {
            SimulationOptions run;
            run.shape = shapeOf(workload.value);
            run.seed = options.seed;
            run.seconds = options.seconds;
            run.cost = options.cost;
            run.rate = load * capacity;
            printHead(out, workload.name, load, run.rate);
            for (const auto& policy : EnumTable<PolicyKind>::rows) {
                run.policy = policy.value;
                const auto result = PlacementSimulation(run).run();
                printRow(out, std::string(policy.name), result);
                bars.push_back({ std::string(workload.name) + " " + std::to_string(static_cast<int>(100 * load)) + "%",
                    policy.value, result });
            }
            for (const auto& variant : variants()) {
                if (options.withAblation) {
                    auto changed = run;
                    changed.policy = PolicyKind::Cost;
                    variant.change(changed);
                    printRow(out, variant.name, PlacementSimulation(changed).run());
                }
            }
        }
    }
    if (options.plotFile.empty()) {
        return true;
    }
    std::ofstream file(options.plotFile);
    file << plotComparison(bars);
    return static_cast<bool>(file.flush());
}

} // namespace Pollenwind::Bench
