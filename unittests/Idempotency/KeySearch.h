// A breadth-first state-space search over every order of messages, losses, repeats, restarts and
// delays for one key, with the real registries. A message that was sent remains in transit
// permanently: it may arrive at any time, any number of times or never.
#pragma once

#include "berylridge/Idempotency/KeyRegistry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::test {

/// One process in the search, shared between the states in which it is the same.
struct SearchNode
{
    NodeIncarnation nodeIncarnation;
    KeyRegistry registry;
    std::uint64_t digest = 0;
    /// Set if the process was started in the search; other nodes learn of it by its liveness
    /// messages.
    bool isNew = false;
};

struct SearchMessage
{
    NodeIncarnation from;
    std::size_t to = 0; ///< The index of the receiving node.
    KeyMessage message;
    std::uint64_t digest = 0;
};

/// The events that may happen in addition to message deliveries. Each entry can be used once.
struct SearchBudget
{
    /// Each entry may call begin() for the key once at this node.
    std::vector<std::size_t> routers;
    std::vector<std::size_t> killable; ///< The nodes that may be killed.
    unsigned kills = 0;                ///< The maximum number of kills of all nodes together.
    unsigned starts = 0;               ///< The maximum number of starts of killed nodes together.
    std::vector<Duration> delays;      ///< Each delay elapses once, in this order.
    std::vector<std::size_t> ticks;    ///< Each entry calls tick() once at this node.
};

/// The complete state of the fleet at one moment.
struct SearchState
{
    /// Null if the process has terminated.
    std::vector<std::shared_ptr<const SearchNode>> nodes;
    /// Sorted by digest, without duplicates.
    std::vector<std::shared_ptr<const SearchMessage>> network;
    TimePoint now;
    WallTime wall;
    std::uint32_t routersUsed = 0; ///< One bit for each entry of the budget's routers.
    std::uint32_t ticksUsed = 0;   ///< One bit for each entry of the budget's ticks.
    unsigned delaysUsed = 0;
    unsigned kills = 0;
    unsigned starts = 0;
    unsigned dispatches = 0;
    bool isFinished = false;
    /// The index of the preceding state in the search's history.
    std::uint32_t parent = 0;
    std::uint32_t step = 0; ///< The index of the move's name in the search's history.
};

/// The nodes by name, the start state, and what is the same in all states.
struct SearchSetup
{
    std::vector<NodeId> names;
    std::vector<VmList> lists; ///< The VM list that each node receives when it starts.
    /// The deviation of each node's clock from true time.
    std::vector<std::chrono::milliseconds> skews;
    std::string key;
    SearchBudget budget;
    Incarnation lastIncarnation = 100;
    SearchState start;
};

struct SearchResult
{
    std::size_t states = 0;
    std::size_t depth = 0;    ///< All sequences of this many moves were explored.
    bool isExhausted = false; ///< No further move is possible in any state.
    /// The number of moves that dispatched the key; shows that the search reaches a dispatch.
    std::size_t dispatches = 0;
    /// The number of distinct active rosters that any node held in any state.
    std::size_t rosters = 0;
    /// The violated property with the moves that led to it; empty if there is no violation.
    std::string violation;
};

struct SearchLimits
{
    std::size_t depth = 0;
    /// No further depth is started once this many states were found.
    std::size_t states = 0;
};

/// Creates started processes that know the list and have exchanged no messages.
SearchSetup makeSetup(const std::vector<std::string> &names, const VmList &list);
/// Lets time pass while all messages are delivered in order without faults.
void runWithoutFaults(SearchSetup &setup, Duration time);
/// Delivers a list to a node and to its later incarnations.
void setList(SearchSetup &setup, std::size_t index, const VmList &list);
/// Starts the node's next incarnation with empty state. Its earlier incarnation must have
/// terminated.
void start(SearchSetup &setup, std::size_t index);
/// Terminates the node's incarnation and reports the termination to the other nodes.
void kill(SearchSetup &setup, std::size_t index);

/// Explores all states that can follow the setup's start state.
SearchResult search(const SearchSetup &setup, const SearchLimits &limits);

} // namespace berylridge::test
