#include "Bench/PlacementPlot.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <sstream>

namespace Pollenwind::Bench {

namespace {

    constexpr double panelHeight = 150;
    constexpr double panelGap = 60;
    constexpr double left = 60;
    constexpr double barWidth = 26;
    constexpr double groupGap = 24;
    constexpr std::array colours { "#999999", "#e69f00", "#56b4e9", "#009e73", "#000000" };

    struct Panel {
        const char* title;
        /// Height of a bar as a share of the panel.
        double (*height)(const SimulationResult&);
        double (*value)(const SimulationResult&);
    };

    constexpr std::array panels {
        Panel { "hit rate, %", [](const SimulationResult& it) { return it.hitRate; },
            [](const SimulationResult& it) { return 100 * it.hitRate; } },
        Panel { "wasted recomputation, % of the prompt tokens", [](const SimulationResult& it) { return it.wasted; },
            [](const SimulationResult& it) { return 100 * it.wasted; } },
        Panel { "p99 time to first token, ms (logarithmic, 10 ms to 100 s)",
            [](const SimulationResult& it) { return std::log10(std::max(0.01, it.p99) / 0.01) / 4; },
            [](const SimulationResult& it) { return 1000 * it.p99; } },
    };

    void text(std::ostream& out, double x, double y, const std::string& content, int size = 11)
    {
        out << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"" << size << "\">" << content << "</text>\n";
    }

    void drawPanel(std::ostream& out, const Panel& panel, double top, const std::vector<PlotBar>& bars)
    {
        text(out, left, top - 8, panel.title, 13);
        double x = left;
        for (std::size_t i = 0; i < bars.size(); ++i) {
            if (i > 0 && bars[i].group != bars[i - 1].group) {
                x += groupGap;
            }
            const double height = panelHeight * std::clamp(panel.height(bars[i].result), 0.0, 1.0);
            const double y = top + panelHeight - height;
            out << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"" << barWidth - 2 << "\" height=\"" << height
                << "\" fill=\"" << colours[static_cast<std::size_t>(bars[i].policy)] << "\"/>\n";
            std::ostringstream value;
            value.precision(3);
            value << std::fixed;
            value.precision(panel.value(bars[i].result) < 100 ? 1 : 0);
            value << panel.value(bars[i].result);
            text(out, x, y - 2, value.str(), 8);
            if (i == 0 || bars[i].group != bars[i - 1].group) {
                text(out, x, top + panelHeight + 14, bars[i].group);
            }
            x += barWidth;
        }
    }

} // namespace

std::string plotComparison(const std::vector<PlotBar>& bars)
{
    std::ostringstream out;
    const double width = left * 2 + static_cast<double>(bars.size()) * barWidth + 4 * groupGap;
    const double height = panels.size() * (panelHeight + panelGap) + 60;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height
        << "\" font-family=\"sans-serif\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    double x = left;
    for (const auto& policy : EnumTable<PolicyKind>::rows) {
        out << "<rect x=\"" << x << "\" y=\"12\" width=\"12\" height=\"12\" fill=\""
            << colours[static_cast<std::size_t>(policy.value)] << "\"/>\n";
        text(out, x + 16, 22, std::string(policy.name));
        x += 110;
    }
    double top = 70;
    for (const auto& panel : panels) {
        drawPanel(out, panel, top, bars);
        top += panelHeight + panelGap;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace Pollenwind::Bench
