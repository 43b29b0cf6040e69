#include "Soak/Queries/SoakVerdict.h"

#include <algorithm>
#include <sstream>

namespace Pollenwind {

namespace {

    constexpr std::size_t keptExamples = 5;

    double percent(std::uint64_t part, std::uint64_t whole)
    {
        return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
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

void SoakVerdict::note(SoakPromise promise, bool holds, const std::string& example)
{
    auto& tally = promises[promise];
    ++tally.checks;
    if (!holds) {
        ++tally.violations;
        if (tally.examples.size() < keptExamples) {
            tally.examples.push_back(example);
        }
    }
}

bool SoakVerdict::isHeld() const
{
    return std::ranges::all_of(promises, [](const auto& it) { return it.second.violations == 0; });
}

std::string formatVerdict(SoakVerdict verdict)
{
    std::ostringstream out;
    for (const auto& row : EnumTable<SoakPromise>::rows) {
        const auto& tally = verdict.promises[row.value];
        out << (tally.violations == 0 ? "held    " : "BROKEN  ") << row.name << ": " << tally.violations << " of "
            << tally.checks << " checks failed\n";
        for (const auto& example : tally.examples) {
            out << "        " << example << "\n";
        }
    }
    out << "faults: ";
    for (const auto& [fault, n] : verdict.faults) {
        out << nameOf(fault) << " " << n << "  ";
    }
    out << "\nrequests " << verdict.requests << ", whole " << verdict.whole << ", refused " << verdict.refused
        << ", ended with an error event " << verdict.errorEvents << ", connections lost " << verdict.connectionsLost
        << "\nerror codes: ";
    for (const auto& [code, n] : verdict.codes) {
        out << code << " " << n << "  ";
    }
    auto& times = verdict.firstTokenMilliseconds;
    std::ranges::sort(times);
    out << "\nprefix hit rate " << percent(verdict.cachedTokens, verdict.promptTokens)
        << "% of prompt tokens; time to first token p50 " << quantile(times, 0.5) << " ms, p99 "
        << quantile(times, 0.99) << " ms\n";
    double worst = 100;
    std::string worstName;
    for (const auto& [organisation, n] : verdict.requestsByOrganisation) {
        const double served = percent(verdict.wholeByOrganisation[organisation], n);
        if (served <= worst) {
            worst = served;
            worstName = organisation;
        }
    }
    out << "worst-served organisation: " << worstName << ", " << worst << "% whole\n";
    return out.str();
}

} // namespace Pollenwind
