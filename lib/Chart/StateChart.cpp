#include "berylridge/Chart/StateChart.h"

#include "StateChartParser.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace berylridge {

namespace {

using Names = std::span<const std::string>;
using ExpectedNames = std::span<const std::string_view>;

/// Returns the index of each expected name among the names in the file. Appends an error for each
/// name that is missing on either side.
std::vector<StateChart::Index> findIndices(const std::string &file, const char *kind,
                                           Names chartNames, ExpectedNames expected,
                                           std::string &errors)
{
    const auto add = [&](std::string_view name, const char *what) {
        errors.append(file).append(":1: ").append(kind).append(" '").append(name);
        errors.append("' ").append(what).append("\n");
    };
    std::vector<StateChart::Index> found;
    for (const auto name : expected) {
        const auto at = std::find(chartNames.begin(), chartNames.end(), name);
        if (at == chartNames.end())
            add(name, "is missing");
        else
            found.push_back(static_cast<StateChart::Index>(at - chartNames.begin()));
    }
    for (const auto &name : chartNames) {
        if (std::find(expected.begin(), expected.end(), name) == expected.end())
            add(name, "is not known to the program");
    }
    return found;
}

} // namespace

Expected<StateChart> StateChart::load(const std::string &path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return Reason {path + ":1: cannot read the file"};
    std::ostringstream text;
    text << in.rdbuf();
    return read(path, text.str());
}

Expected<StateChart> StateChart::read(const std::string &file, std::string_view text)
{
    return StateChartParser(file, text).read();
}

Expected<StateChart> StateChart::withOrder(std::span<const std::string_view> states,
                                           std::span<const std::string_view> signalNames) const
{
    std::string errors;
    const auto rows = findIndices(m_file, "state", m_states, states, errors);
    const auto columns = findIndices(m_file, "signal", m_signals, signalNames, errors);
    if (!errors.empty()) {
        errors.pop_back();
        return Reason {errors};
    }
    std::vector<Index> newIndices(rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i)
        newIndices[rows[i]] = static_cast<Index>(i);

    StateChart chart;
    chart.m_file = m_file;
    chart.m_states.assign(states.begin(), states.end());
    chart.m_signals.assign(signalNames.begin(), signalNames.end());
    chart.m_initial = newIndices[m_initial];
    for (const auto row : rows) {
        chart.m_final.push_back(m_final[row]);
        for (const auto column : columns) {
            const auto to = next(row, column);
            chart.m_table.push_back(to ? newIndices[*to] : noTransition);
        }
    }
    return chart;
}

} // namespace berylridge
