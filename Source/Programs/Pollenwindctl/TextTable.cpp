#include "Pollenwindctl/TextTable.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace Pollenwind::Ctl {

TextTable::TextTable(std::vector<std::string> titles) { m_rows.push_back(std::move(titles)); }

void TextTable::addRow(std::vector<std::string> cells) { m_rows.push_back(std::move(cells)); }

std::string TextTable::toString() const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto& row : m_rows) {
        // The last cell of a row needs no padding, so it does not widen its column.
        for (std::size_t i = 0; i + 1 < row.size() && i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            text += row[i];
            if (i + 1 < row.size()) {
                text += std::string(widths[std::min(i, widths.size() - 1)] - row[i].size() + 2, ' ');
            }
        }
        text += "\n";
    }
    return text;
}

std::string formatNumber(double value, int decimals)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(decimals) << value;
    return out.str();
}

} // namespace Pollenwind::Ctl
