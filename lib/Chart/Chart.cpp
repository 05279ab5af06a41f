#include "berylridge/Chart/Chart.h"

#include "ChartReader.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace berylridge {

namespace {

using Names = std::span<const std::string>;
using WantedNames = std::span<const std::string_view>;

/// Where each of the wanted names stands among those of the file. Appends to the errors what is
/// missing on either side.
std::vector<Chart::Index> positions(const std::string &file, const char *kind, Names there,
                                    WantedNames wanted, std::string &errors)
{
    const auto add = [&](std::string_view name, const char *what) {
        errors.append(file).append(":1: ").append(kind).append(" '").append(name);
        errors.append("' ").append(what).append("\n");
    };
    std::vector<Chart::Index> found;
    for (const auto name : wanted) {
        const auto at = std::find(there.begin(), there.end(), name);
        if (at == there.end())
            add(name, "is missing");
        else
            found.push_back(static_cast<Chart::Index>(at - there.begin()));
    }
    for (const auto &name : there) {
        if (std::find(wanted.begin(), wanted.end(), name) == wanted.end())
            add(name, "is not one that the program knows");
    }
    return found;
}

} // namespace

Expected<Chart> Chart::load(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return Reason {path + ":1: the file can't be read"};
    std::ostringstream text;
    text << in.rdbuf();
    return read(path, text.str());
}

Expected<Chart> Chart::read(const std::string &file, std::string_view text)
{
    return ChartReader(file, text).read();
}

Expected<Chart> Chart::ordered(std::span<const std::string_view> states,
                               std::span<const std::string_view> signalNames) const
{
    std::string errors;
    const auto rows = positions(m_file, "state", m_states, states, errors);
    const auto columns = positions(m_file, "signal", m_signals, signalNames, errors);
    if (!errors.empty()) {
        errors.pop_back();
        return Reason {errors};
    }
    std::vector<Index> numberOf(rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i)
        numberOf[rows[i]] = static_cast<Index>(i);

    Chart chart;
    chart.m_file = m_file;
    chart.m_states.assign(states.begin(), states.end());
    chart.m_signals.assign(signalNames.begin(), signalNames.end());
    chart.m_initial = numberOf[m_initial];
    for (const auto row : rows) {
        chart.m_final.push_back(m_final[row]);
        for (const auto column : columns) {
            const auto to = next(row, column);
            chart.m_table.push_back(to ? numberOf[*to] : unlisted);
        }
    }
    return chart;
}

} // namespace berylridge
