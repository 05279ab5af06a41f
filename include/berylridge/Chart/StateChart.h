// Declares state charts that are loaded from files. A chart is parsed and validated once and
// compiled into a dense transition table, so that each signal costs one lookup.
#pragma once

#include "berylridge/Support/Expected.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// Holds the transition table of one chart file. The file is a JSON object; comments are allowed:
///
///     "initial": "cold",
///     "states": ["cold", "warm", "gone"],
///     "final": ["gone"],
///     "signals": ["rampDone", "removed"],
///     "transitions": [{"from": ["cold", "warm"], "on": "removed", "to": "gone"}, ...],
///     "ignored": [{"from": "warm", "on": ["rampDone"]}, ...]
///
/// "from" and "on" hold a name or a list of names. Each pair of a state and a signal is listed at
/// most once, under "transitions" or under "ignored"; an unlisted pair has no next state. Every
/// state must be reachable from the initial one, and only final states may have no outgoing
/// transition.
class StateChart
{
public:
    using Index = std::uint8_t;

    /// Loads a chart file. On failure the reason lists every error, one "file:line: message" per
    /// line.
    static Expected<StateChart> load(const std::string &path);

    /// Parses the text of a chart. `file` is used in error messages only.
    static Expected<StateChart> read(const std::string &file, std::string_view text);

    std::span<const std::string> states() const { return m_states; }
    std::span<const std::string> signalNames() const { return m_signals; }
    Index initial() const { return m_initial; }
    bool isFinal(Index state) const { return m_final[state]; }

    /// Returns the state after a signal: the same state if the signal is ignored, none if the file
    /// does not list the pair.
    std::optional<Index> next(Index state, Index signal) const
    {
        const Index to = m_table[std::size_t {state} * m_signals.size() + signal];
        return to == noTransition ? std::nullopt : std::optional(to);
    }

    /// Returns the chart with its states and signals numbered in the order of the given names.
    /// Fails unless these are exactly the names in the file.
    Expected<StateChart> withOrder(std::span<const std::string_view> states,
                                   std::span<const std::string_view> signalNames) const;

private:
    friend class StateChartParser;
    static constexpr Index noTransition = 0xff;

    std::string m_file;
    std::vector<std::string> m_states;
    std::vector<std::string> m_signals;
    std::vector<bool> m_final;
    std::vector<Index> m_table; ///< Has one row per state and one column per signal.
    Index m_initial = 0;
};

/// Maps the states and signals of a chart to the values of two enums by the order of their names,
/// so that no names are compared after loading.
template <typename State, typename Signal>
class StateMachine
{
public:
    /// Fails if the file is invalid or if its names are not exactly the given ones.
    static Expected<StateMachine> load(const std::string &path,
                                       std::span<const std::string_view> states,
                                       std::span<const std::string_view> signalNames)
    {
        Expected<StateChart> chart = StateChart::load(path);
        if (!chart)
            return Reason {chart.failureReason()};
        Expected<StateChart> bound = chart->withOrder(states, signalNames);
        if (!bound)
            return Reason {bound.failureReason()};
        return StateMachine(*std::move(bound));
    }

    State initial() const { return static_cast<State>(m_chart.initial()); }
    bool isFinal(State state) const
    {
        return m_chart.isFinal(static_cast<StateChart::Index>(state));
    }

    /// Returns the state after a signal, or none if the file does not list the pair. The caller
    /// should then keep the state and treat the signal as an error of its sender.
    std::optional<State> next(State state, Signal input) const
    {
        const auto to = m_chart.next(static_cast<StateChart::Index>(state),
                                     static_cast<StateChart::Index>(input));
        if (!to)
            return std::nullopt;
        return static_cast<State>(*to);
    }

    /// Applies a signal to the state and returns whether the state changed. A signal that the file
    /// does not list for the state changes nothing.
    bool step(State &state, Signal input) const
    {
        const State to = next(state, input).value_or(state);
        const bool isChanged = to != state;
        state = to;
        return isChanged;
    }

    /// Returns the state's name in the file.
    const std::string &name(State state) const
    {
        return m_chart.states()[static_cast<std::size_t>(state)];
    }

private:
    explicit StateMachine(StateChart chart)
        : m_chart(std::move(chart))
    {
    }

    StateChart m_chart;
};

} // namespace berylridge
