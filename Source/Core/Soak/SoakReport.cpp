#include "Soak/Queries/SoakReport.h"

#include <algorithm>
#include <sstream>

namespace Pollenwind {

namespace {

    constexpr std::size_t maxExamples = 5;

    double percent(std::uint64_t part, std::uint64_t total)
    {
        return total == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(total);
    }

    double quantile(std::vector<double>& sorted, double quantile)
    {
        if (sorted.empty()) {
            return 0;
        }
        return sorted[std::min(
            sorted.size() - 1, static_cast<std::size_t>(quantile * static_cast<double>(sorted.size())))];
    }

} // namespace

void SoakReport::recordCheck(SoakGuarantee guarantee, bool holds, const std::string& example)
{
    auto& tally = guarantees[guarantee];
    ++tally.checks;
    if (!holds) {
        ++tally.violations;
        if (tally.examples.size() < maxExamples) {
            tally.examples.push_back(example);
        }
    }
}

bool SoakReport::hasPassed() const
{
    return std::ranges::all_of(guarantees, [](const auto& it) { return it.second.violations == 0; });
}

std::string formatReport(SoakReport report)
{
    std::ostringstream out;
    for (const auto& row : EnumTable<SoakGuarantee>::rows) {
        const auto& tally = report.guarantees[row.value];
        out << (tally.violations == 0 ? "held    " : "BROKEN  ") << row.name << ": " << tally.violations << " of "
            << tally.checks << " checks failed\n";
        for (const auto& example : tally.examples) {
            out << "        " << example << "\n";
        }
    }
    out << "faults: ";
    for (const auto& [fault, n] : report.faults) {
        out << nameOf(fault) << " " << n << "  ";
    }
    out << "\nrequests " << report.requests << ", complete " << report.completed << ", refused " << report.refused
        << ", ended with an error event " << report.errorEvents << ", connections lost " << report.connectionsLost
        << "\nerror codes: ";
    for (const auto& [code, n] : report.codes) {
        out << code << " " << n << "  ";
    }
    auto& times = report.firstTokenMilliseconds;
    std::ranges::sort(times);
    out << "\nprefix hit rate " << percent(report.cachedTokens, report.promptTokens)
        << "% of prompt tokens; time to first token p50 " << quantile(times, 0.5) << " ms, p99 "
        << quantile(times, 0.99) << " ms\n";
    double worst = 100;
    std::string worstName;
    for (const auto& [organisation, n] : report.requestsByOrganisation) {
        const double served = percent(report.completedByOrganisation[organisation], n);
        if (served <= worst) {
            worst = served;
            worstName = organisation;
        }
    }
    out << "worst-served organisation: " << worstName << ", " << worst << "% complete\n";
    return out.str();
}

} // namespace Pollenwind
