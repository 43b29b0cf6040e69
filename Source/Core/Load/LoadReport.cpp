#include "Load/Queries/LoadReport.h"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Pollenwind {

namespace {

    double quantile(std::vector<double> values, double quantile)
    {
        if (values.empty()) {
            return 0;
        }
        std::ranges::sort(values);
        const auto rank = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
        return values[std::min(rank, values.size() - 1)];
    }

    double toMilliseconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration<double, std::milli>(duration).count();
    }

} // namespace

LoadReport summariseLoad(std::string name, const std::vector<LoadSample>& samples)
{
    std::vector<double> firstTokens;
    std::vector<double> totals;
    for (const auto& it : samples) {
        if (it.isComplete) {
            firstTokens.push_back(toMilliseconds(it.firstToken));
            totals.push_back(toMilliseconds(it.total));
        }
    }
    LoadReport report;
    report.name = std::move(name);
    report.sent = samples.size();
    report.completed = totals.size();
    report.firstTokenP50 = quantile(firstTokens, 0.5);
    report.firstTokenP99 = quantile(firstTokens, 0.99);
    report.totalP50 = quantile(totals, 0.5);
    report.totalP99 = quantile(totals, 0.99);
    return report;
}

double processorSeconds(int pid)
{
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    // The command name in parentheses may contain spaces; the fields after it do not.
    const auto end = text.rfind(')');
    if (end == std::string::npos) {
        return 0;
    }
    std::istringstream fields(text.substr(end + 1));
    std::string skipped;
    // Skips fields 3 to 13, which precede utime.
    for (int i = 0; i < 11; ++i) {
        fields >> skipped;
    }
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace Pollenwind
