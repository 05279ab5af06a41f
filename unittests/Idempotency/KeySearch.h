// A breadth-first search over every order of messages, losses, repeats, restarts and passing time
// for one key, on the real registries. A message that was sent stays on its way for ever: it may
// arrive at any time, any number of times or never.
#pragma once

#include "berylridge/Idempotency/KeyRegistry.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace berylridge::test {

/// One process in the search; shared between the worlds in which it is the same.
struct SearchNode
{
    NodeRun run;
    KeyRegistry registry;
    std::uint64_t digest = 0;
    bool isNew = false; ///< Started in the search: others learn of it by its signs of life.
};

struct SearchMessage
{
    NodeRun from;
    std::size_t to = 0; ///< Index of the node.
    KeyMessage message;
    std::uint64_t digest = 0;
};

/// What may happen besides messages: each use of an entry takes it.
struct SearchBudget
{
    std::vector<std::size_t> routers;  ///< Each entry may begin the key once at this node.
    std::vector<std::size_t> killable; ///< Nodes that may be killed.
    unsigned kills = 0;                ///< Of any of them, all together.
    unsigned starts = 0;               ///< Of killed nodes, all together.
    std::vector<Duration> delays;      ///< Each passes once, in this order.
    std::vector<std::size_t> ticks;    ///< Each entry wakes this node's timers once.
};

/// Everything that is so at one moment.
struct SearchState
{
    std::vector<std::shared_ptr<const SearchNode>> nodes;      ///< Null: the process is gone.
    std::vector<std::shared_ptr<const SearchMessage>> network; ///< By digest; each once.
    TimePoint now;
    WallTime wall;
    std::uint32_t routersUsed = 0; ///< Bit by entry of the budget.
    std::uint32_t ticksUsed = 0;   ///< As above.
    unsigned delaysUsed = 0;
    unsigned kills = 0;
    unsigned starts = 0;
    unsigned dispatches = 0;
    bool isFinished = false;
    std::uint32_t parent = 0; ///< Index of the world before in the search's own record.
    std::uint32_t step = 0;   ///< Index of the move's name there.
};

/// The nodes by name, and what is the same in all worlds.
struct SearchSetup
{
    std::vector<NodeId> names;
    std::vector<VmList> lists;                    ///< The list that a node gets when it starts.
    std::vector<std::chrono::milliseconds> skews; ///< Of the nodes' clocks against true time.
    std::string key;
    SearchBudget budget;
    Incarnation lastIncarnation = 100;
    SearchState start;
};

struct SearchResult
{
    std::size_t states = 0;
    std::size_t depth = 0;      ///< All orders of so many moves were searchAndCheck at.
    bool isExhausted = false;   ///< No further move is possible anywhere.
    std::size_t dispatches = 0; ///< Moves that dispatched the key: the search gets there.
    std::size_t rosters = 0;    ///< Different active rosters that some node held in some world.
    std::string violation;      ///< With the moves that led to it; empty where all is kept.
};

struct SearchLimits
{
    std::size_t depth = 0;
    std::size_t states = 0; ///< No further depth is begun beyond.
};

/// Idle processes that know the list.
SearchSetup makeSetup(const std::vector<std::string> &names, const VmList &list);
/// Lets time pass with all messages delivered in order, as in a quiet fleet.
void runWithoutFaults(SearchSetup &setup, Duration time);
/// Hands a list to a node, and to its later runs.
void setList(SearchSetup &setup, std::size_t index, const VmList &list);
/// Starts the node's next run, without memory. An earlier one is gone.
void start(SearchSetup &setup, std::size_t index);
/// Ends the node's run. The other nodes get the proof.
void kill(SearchSetup &setup, std::size_t index);

/// Looks at all worlds that can follow.
SearchResult search(const SearchSetup &setup, const SearchLimits &limits);

} // namespace berylridge::test
