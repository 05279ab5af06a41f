#include "Idempotency/KeySearch.h"

#include "Idempotency/KeyFleet.h"

#include <gtest/gtest.h>
#include <iostream>

using namespace berylridge;
using namespace berylridge::test;

namespace {

constexpr Duration oneSecond = std::chrono::seconds(1);

VmList listOf(std::uint64_t revision, const std::vector<std::string> &names)
{
    VmList list;
    list.revision = revision;
    for (const std::string &name : names)
        list.vms.push_back({NodeId(name), ZoneId(name), "127.0.0.1", 1, false});
    return list;
}

/// The nodes have agreed on a roster of all of them, some time ago.
SearchSetup settledSetup(const std::vector<std::string> &names)
{
    SearchSetup setup = makeSetup(names, listOf(1, names));
    settle(setup, std::chrono::seconds(10));
    return setup;
}

void report(const std::string &name, const SearchResult &result)
{
    std::cout << name << ": " << result.states << " states, depth " << result.depth
              << (result.isExhausted ? ", exhausted, " : ", bounded, ") << result.dispatches
              << " dispatches, " << result.rosters << " rosters\n";
}

} // namespace

// The same purchase reaches two routers at once. Every order of claims, votes, releases and
// queries, with losses, repeats and one node that restarts without memory.
TEST(KeySearch, OneKeyTwoRoutersOneRestart)
{
    SearchSetup setup = settledSetup({"a", "b", "c"});
    setup.key = timedKey(setup.start.wall);
    setup.budget = {{0, 1}, {0, 1, 2}, 1, 1, {}};
    const auto result = search(setup, {60, 2'000'000});
    report("two routers, one restart", result);
    EXPECT_EQ(result.violation, "");
    EXPECT_GT(result.dispatches, 0U);
}

// A witness has restarted, so the others agree on a roster with its new run. The same purchase
// reaches two routers while they do: its time lies after the new roster's start, and every message
// of the agreement may come late, while votes in the old roster are still on their way.
TEST(KeySearch, OneKeyTwoRoutersOneRestartOneRosterChange)
{
    SearchSetup setup = settledSetup({"a", "b", "c"});
    setup.key = timedKey(setup.start.wall + std::chrono::milliseconds(3900));
    start(setup, 2);
    setup.budget = {{0, 1}, {}, 0, 0, {oneSecond, 2 * oneSecond, oneSecond}};
    const auto result = search(setup, {60, 2'000'000});
    report("two routers, one restart, one roster change", result);
    EXPECT_EQ(result.violation, "");
    EXPECT_GT(result.dispatches, 0U);
}

// VMs are replaced: the list names d instead of a, but b still has a list that names a alone
// missing, so both a and b propose rosters of their own. Clocks differ as far as is allowed.
TEST(KeySearch, DifferingListsAndClocks)
{
    SearchSetup setup = makeSetup({"a", "b", "c", "d"}, listOf(1, {"a", "b", "c"}));
    kill(setup, 3);
    settle(setup, std::chrono::seconds(10));
    setup.key = timedKey(setup.start.wall + std::chrono::milliseconds(3900));
    setup.skews = {std::chrono::milliseconds(500), std::chrono::milliseconds(-500),
                   std::chrono::milliseconds(0), std::chrono::milliseconds(0)};
    setList(setup, 0, listOf(2, {"a", "b", "d"}));
    setList(setup, 1, listOf(3, {"b", "c", "d"}));
    setList(setup, 3, listOf(3, {"b", "c", "d"}));
    start(setup, 3);
    setup.budget = {{0, 1}, {}, 0, 0, {oneSecond, 2 * oneSecond, oneSecond}};
    const auto result = search(setup, {60, 1'000'000});
    report("differing lists and clocks", result);
    EXPECT_EQ(result.violation, "");
}
