#pragma once

#include <string>
#include <vector>

namespace Pollenwind::Ctl {

/// Formats rows of text as a table with aligned columns.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Adds a row; it may have fewer cells than there are titles.
    void addRow(std::vector<std::string> cells);
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Formats a number with a fixed number of decimals.
std::string formatNumber(double value, int decimals);

} // namespace Pollenwind::Ctl
