// A text table with aligned columns.
#pragma once

#include <string>
#include <vector>

namespace berylridge::ctl {

class Table
{
public:
    explicit Table(std::vector<std::string> header);

    void add(std::vector<std::string> row) { m_rows.push_back(std::move(row)); }
    bool isEmpty() const { return m_rows.size() == 1; }

    /// Prints the table on standard output, each line after the given indentation. Prints nothing
    /// if there is no row besides the header.
    void print(const std::string &indentation = "") const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace berylridge::ctl
