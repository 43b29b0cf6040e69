#pragma once

#include <string>
#include <vector>

namespace Pollenwind::Ctl {

/// Table with aligned columns for people.
class TextTable {
public:
    explicit TextTable(std::vector<std::string> titles);

    /// Adds a row; it may have fewer cells than there are titles.
    void addRow(std::vector<std::string> cells);
    std::string toString() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

/// Short decimal form of a number.
std::string formatNumber(double value, int decimals);

} // namespace Pollenwind::Ctl
