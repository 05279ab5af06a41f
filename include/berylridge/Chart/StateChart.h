// State charts that stand in files: read and checked whole once, compiled to a dense table, then
// one lookup a signal.
#pragma once

#include "berylridge/Support/Expected.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// A chart as its file tells it. The file is a JSON object, comments allowed:
///
///     "initial": "cold",
///     "states": ["cold", "warm", "gone"],
///     "final": ["gone"],
///     "signals": ["rampDone", "removed"],
///     "transitions": [{"from": ["cold", "warm"], "on": "removed", "to": "gone"}, ...],
///     "ignored": [{"from": "warm", "on": ["rampDone"]}, ...]
///
/// "from" and "on" are a name or a list of names. A pair of state and signal stands once, under
/// "transitions" or under "ignored"; a pair that stands nowhere has no next state. Every state must
/// be reachable from the initial one, and only final states may have no way out.
class StateChart
{
public:
    using Index = std::uint8_t;

    /// Reads a chart file. On failure the reason holds every error, one "file:line: message" a
    /// line.
    static Expected<StateChart> load(const std::string &path);

    /// The same for a text; file is used in messages only.
    static Expected<StateChart> read(const std::string &file, std::string_view text);

    std::span<const std::string> states() const { return m_states; }
    std::span<const std::string> signalNames() const { return m_signals; }
    Index initial() const { return m_initial; }
    bool isFinal(Index state) const { return m_final[state]; }

    /// The state after a signal: the same one where the signal is ignored, none where the file
    /// doesn't list the pair.
    std::optional<Index> next(Index state, Index signal) const
    {
        const Index to = m_table[std::size_t {state} * m_signals.size() + signal];
        return to == noTransition ? std::nullopt : std::optional(to);
    }

    /// The same chart with its states and signals numbered in the order of the given names. Fails
    /// unless the names are exactly those of the file.
    Expected<StateChart> withOrder(std::span<const std::string_view> states,
                                   std::span<const std::string_view> signalNames) const;

private:
    friend class StateChartParser;
    static constexpr Index noTransition = 0xff;

    std::string m_file;
    std::vector<std::string> m_states;
    std::vector<std::string> m_signals;
    std::vector<bool> m_final;
    std::vector<Index> m_table; ///< Row per state, column per signal.
    Index m_initial = 0;
};

/// A chart whose states and signals are the values of two enums, in the order of their names, so
/// that no name is compared after the start.
template <typename State, typename Signal>
class StateMachine
{
public:
    /// Fails when the file is wrong, or when its names are not exactly the given ones.
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

    /// The state after a signal; none where the file doesn't list the pair, which the caller should
    /// treat as a fault of whoever sent the signal and keep the state.
    std::optional<State> next(State state, Signal input) const
    {
        const auto to = m_chart.next(static_cast<StateChart::Index>(state),
                                     static_cast<StateChart::Index>(input));
        if (!to)
            return std::nullopt;
        return static_cast<State>(*to);
    }

    /// Moves the state on and tells whether it changed. An noTransition signal changes nothing.
    bool step(State &state, Signal input) const
    {
        const State to = next(state, input).value_or(state);
        const bool isChanged = to != state;
        state = to;
        return isChanged;
    }

    /// The state's name in the file.
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
