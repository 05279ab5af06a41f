// Prints each column as wide as its widest text.
#include "Table.h"

#include <algorithm>
#include <iostream>

namespace berylridge::ctl {

Table::Table(std::vector<std::string> header)
    : m_rows {std::move(header)}
{
}

void Table::print(const std::string &indentation) const
{
    if (isEmpty())
        return;
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : m_rows) {
        std::string line = indentation;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i];
            line.append(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        std::cout << line << '\n';
    }
}

} // namespace berylridge::ctl
