#include "StateChartParser.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>

namespace berylridge {

namespace {

constexpr std::size_t maxNames = 64;

constexpr auto knownMembers = std::to_array<std::string_view>(
    {"initial", "states", "final", "signals", "transitions", "ignored"});

/// Extracts the first message from jsoncpp's error text, which has the form
/// "* Line 3, Column 7\n  message\n...".
std::string firstParseError(const std::string &errors)
{
    const auto begin = errors.find("\n  ");
    if (begin == std::string::npos)
        return errors;
    const auto end = errors.find('\n', begin + 3);
    return errors.substr(begin + 3, end == std::string::npos ? end : end - begin - 3);
}

} // namespace

StateChartParser::StateChartParser(std::string file, std::string_view text)
    : m_file(std::move(file))
    , m_text(text)
{
    m_chart.m_file = m_file;
}

Expected<StateChart> StateChartParser::read()
{
    Json::Value root;
    if (parse(root)) {
        checkMembers(root);
        m_chart.m_states = readNames(root, "states");
        m_chart.m_signals = readNames(root, "signals");
        m_chart.m_table.assign(m_chart.m_states.size() * m_chart.m_signals.size(),
                               StateChart::noTransition);
        readInitial(root);
        readFinal(root);
        readTransitions(root, "transitions", true);
        readTransitions(root, "ignored", false);
        if (m_errors.empty()) {
            checkReachability(root);
            checkOutgoingTransitions(root);
        }
    }
    if (m_errors.empty())
        return m_chart;
    m_errors.pop_back();
    return Reason {m_errors};
}

bool StateChartParser::parse(Json::Value &root)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["allowComments"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    if (!reader->parse(m_text.data(), m_text.data() + m_text.size(), &root, &errors)) {
        int line = 1;
        std::sscanf(errors.c_str(), "* Line %d", &line); // NOLINT: line 1 without a number
        m_errors += m_file + ":" + std::to_string(line) + ": " + firstParseError(errors) + "\n";
        return false;
    }
    if (!root.isObject()) {
        addError(root, "a chart must be a JSON object");
        return false;
    }
    return true;
}

void StateChartParser::checkMembers(const Json::Value &root)
{
    for (const auto &name : root.getMemberNames()) {
        if (std::find(knownMembers.begin(), knownMembers.end(), name) == knownMembers.end()) {
            addError(root[name],
                     "'" + name
                         + "' is unknown; allowed are initial, states, final, signals, transitions "
                           "and ignored");
        }
    }
}

std::vector<std::string> StateChartParser::readNames(const Json::Value &root, const char *name)
{
    const Json::Value &list = root[name];
    if (!list.isArray() || list.empty() || list.size() > maxNames) {
        addError(list, "'" + std::string(name) + "' must be a list of 1 to 64 names");
        return {};
    }
    std::vector<std::string> names;
    for (const auto &item : list) {
        if (!item.isString() || item.asString().empty())
            addError(item, "'" + std::string(name) + "' must contain only non-empty names");
        else if (std::find(names.begin(), names.end(), item.asString()) != names.end())
            addError(item, "'" + item.asString() + "' is listed twice in '" + name + "'");
        else
            names.push_back(item.asString());
    }
    return names;
}

void StateChartParser::readInitial(const Json::Value &root)
{
    const Json::Value &initial = root["initial"];
    if (!initial.isString()) {
        addError(initial, "'initial' is missing: it must name a state");
        return;
    }
    const auto found = indices(initial, m_chart.m_states, "state");
    if (!found.empty())
        m_chart.m_initial = found.front();
}

void StateChartParser::readFinal(const Json::Value &root)
{
    m_chart.m_final.assign(m_chart.m_states.size(), false);
    if (!root.isMember("final"))
        return;
    for (const auto state : indices(root["final"], m_chart.m_states, "state"))
        m_chart.m_final[state] = true;
}

void StateChartParser::readTransitions(const Json::Value &root, const char *list, bool hasTarget)
{
    if (!root.isMember(list))
        return;
    const Json::Value &entries = root[list];
    if (!entries.isArray()) {
        addError(entries, "'" + std::string(list) + "' must be a list");
        return;
    }
    for (const auto &entry : entries) {
        if (entry.isObject())
            readTransition(entry, hasTarget);
        else
            addError(entry, "'" + std::string(list) + "' must contain only objects");
    }
}

void StateChartParser::readTransition(const Json::Value &entry, bool hasTarget)
{
    for (const auto &name : entry.getMemberNames()) {
        if (name != "from" && name != "on" && !(hasTarget && name == "to"))
            addError(entry[name], "'" + name + "' is unknown here");
    }
    const auto from = indices(entry["from"], m_chart.m_states, "state");
    const auto on = indices(entry["on"], m_chart.m_signals, "signal");
    std::vector<Index> to;
    if (hasTarget) {
        to = indices(entry["to"], m_chart.m_states, "state");
        if (to.size() != 1) {
            addError(entry, "'to' must name one state");
            return;
        }
    }
    for (const auto state : from) {
        for (const auto signal : on)
            setNext(entry, state, signal, hasTarget ? to.front() : state);
    }
}

void StateChartParser::setNext(const Json::Value &entry, Index from, Index on, Index to)
{
    Index &cell = m_chart.m_table[std::size_t {from} * m_chart.m_signals.size() + on];
    if (cell != StateChart::noTransition) {
        addError(entry,
                 "signal '" + m_chart.m_signals[on] + "' in state '" + m_chart.m_states[from]
                     + "' is listed twice");
        return;
    }
    cell = to;
}

std::vector<StateChartParser::Index> StateChartParser::indices(
    const Json::Value &value, const std::vector<std::string> &names, const char *kind)
{
    if (!value.isString() && !value.isArray()) {
        addError(value, std::string("a ") + kind + " or a list of them is expected here");
        return {};
    }
    std::vector<Index> found;
    const auto add = [&](const Json::Value &item) {
        const std::string name = item.isString() ? item.asString() : std::string();
        const auto at = std::find(names.begin(), names.end(), name);
        if (at == names.end())
            addError(item, std::string(kind) + " '" + name + "' is unknown");
        else
            found.push_back(static_cast<Index>(at - names.begin()));
    };
    if (value.isString()) {
        add(value);
        return found;
    }
    for (const auto &item : value)
        add(item);
    return found;
}

void StateChartParser::checkReachability(const Json::Value &root)
{
    std::vector<bool> reached(m_chart.m_states.size(), false);
    std::vector<Index> open {m_chart.m_initial};
    reached[m_chart.m_initial] = true;
    while (!open.empty()) {
        const Index state = open.back();
        open.pop_back();
        for (std::size_t signal = 0; signal < m_chart.m_signals.size(); ++signal) {
            const auto to = m_chart.next(state, static_cast<Index>(signal));
            if (!to || reached[*to])
                continue;
            reached[*to] = true;
            open.push_back(*to);
        }
    }
    for (std::size_t i = 0; i < reached.size(); ++i) {
        if (!reached[i]) {
            addError(root["states"][static_cast<Json::ArrayIndex>(i)],
                     "state '" + m_chart.m_states[i] + "' can't be reached from '"
                         + m_chart.m_states[m_chart.m_initial] + "'");
        }
    }
}

void StateChartParser::checkOutgoingTransitions(const Json::Value &root)
{
    for (std::size_t i = 0; i < m_chart.m_states.size(); ++i) {
        const Json::Value &at = root["states"][static_cast<Json::ArrayIndex>(i)];
        if (m_chart.m_final[i] && hasOutgoingTransition(i))
            addError(at, "final state '" + m_chart.m_states[i] + "' has a transition out of it");
        if (!m_chart.m_final[i] && !hasOutgoingTransition(i)) {
            addError(at,
                     "state '" + m_chart.m_states[i]
                         + "' has no transition out of it and is not final");
        }
    }
}

bool StateChartParser::hasOutgoingTransition(std::size_t state) const
{
    for (std::size_t signal = 0; signal < m_chart.m_signals.size(); ++signal) {
        const auto to = m_chart.next(static_cast<Index>(state), static_cast<Index>(signal));
        if (to && *to != state)
            return true;
    }
    return false;
}

void StateChartParser::addError(std::ptrdiff_t offset, const std::string &message)
{
    const auto upTo = std::min<std::size_t>(static_cast<std::size_t>(offset), m_text.size());
    const auto line
        = 1 + std::count(m_text.begin(), m_text.begin() + static_cast<std::ptrdiff_t>(upTo), '\n');
    m_errors += m_file + ":" + std::to_string(line) + ": " + message + "\n";
}

void StateChartParser::addError(const Json::Value &at, const std::string &message)
{
    addError(at.getOffsetStart(), message);
}

} // namespace berylridge
