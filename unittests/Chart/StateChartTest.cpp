// Tests parsing of chart files, and that every error is reported with its line.
#include "berylridge/Chart/StateChart.h"

#include <array>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

using namespace berylridge;

namespace {

constexpr std::string_view door = R"({
    // A door.
    "initial": "shut",
    "states": ["shut", "open", "broken"],
    "final": ["broken"],
    "signals": ["push", "kick"],
    "transitions": [
        { "from": "shut", "on": "push", "to": "open" },
        { "from": ["shut", "open"], "on": "kick", "to": "broken" }
    ],
    "ignored": [{ "from": "broken", "on": ["push", "kick"] }]
})";

std::string replaced(std::string_view from, std::string_view to)
{
    std::string text(door);
    const auto at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

std::string errorsOf(const std::string &text)
{
    return StateChart::read("door.json", text).failureReason();
}

enum class Door : std::uint8_t { Broken, Shut, Open };
enum class DoorSignal : std::uint8_t { Push, Kick };

} // namespace

TEST(StateChart, ListedIgnoredAndUnlistedPairs)
{
    const auto chart = StateChart::read("door.json", door);
    ASSERT_TRUE(chart) << chart.failureReason();
    EXPECT_EQ(chart->initial(), 0);
    EXPECT_EQ(chart->next(0, 0), 1);
    EXPECT_EQ(chart->next(2, 1), 2) << "ignored: the state stays";
    EXPECT_EQ(chart->next(1, 0), std::nullopt) << "unlisted";
    EXPECT_TRUE(chart->isFinal(2));
}

TEST(StateChart, EveryErrorNamesItsLine)
{
    EXPECT_EQ(errorsOf(replaced(R"("shut",
)",
                                R"("ajar",
)")),
              "door.json:3: state 'ajar' is unknown");
    EXPECT_EQ(errorsOf(replaced(R"("to": "open")", R"("to": "closed")")),
              "door.json:8: state 'closed' is unknown\ndoor.json:8: 'to' must name one state");
    EXPECT_EQ(errorsOf(replaced(R"("kick", "to")", R"("push", "to")")),
              "door.json:9: signal 'push' in state 'shut' is listed twice");
    EXPECT_EQ(errorsOf(replaced(R"("to": "open")", R"("to": "broken")")),
              "door.json:4: state 'open' can't be reached from 'shut'");
    EXPECT_EQ(errorsOf(replaced(R"("final")", R"("fianl")")),
              "door.json:5: 'fianl' is unknown; allowed are initial, states, final, signals, "
              "transitions and ignored");
    EXPECT_EQ(errorsOf(replaced(R"("final": ["broken"],)", "")),
              "door.json:4: state 'broken' has no transition out of it and is not final");
    EXPECT_EQ(errorsOf(replaced(R"("open", "broken"])", R"("open", "open", "broken"])")),
              "door.json:4: 'open' is listed twice in 'states'");
    EXPECT_NE(errorsOf(replaced(R"("initial": "shut",)", "")).find("'initial' is missing"),
              std::string::npos);
    EXPECT_EQ(errorsOf(replaced(R"("push", "kick"],)", R"("push", "kick")")).substr(0, 12),
              "door.json:7:");
}

TEST(StateChart, IndicesFollowEnumOrder)
{
    const std::string path = testing::TempDir() + "door.json";
    std::ofstream(path) << door;
    constexpr auto states = std::to_array<std::string_view>({"broken", "shut", "open"});
    constexpr auto doorSignals = std::to_array<std::string_view>({"push", "kick"});
    const auto table = StateMachine<Door, DoorSignal>::load(path, states, doorSignals);
    ASSERT_TRUE(table) << table.failureReason();
    EXPECT_EQ(table->initial(), Door::Shut);
    EXPECT_EQ(table->next(Door::Shut, DoorSignal::Push), Door::Open);
    EXPECT_EQ(table->next(Door::Open, DoorSignal::Push), std::nullopt);
    EXPECT_EQ(table->name(Door::Broken), "broken");

    constexpr auto others = std::to_array<std::string_view>({"broken", "shut", "ajar"});
    const auto wrong = StateMachine<Door, DoorSignal>::load(path, others, doorSignals);
    EXPECT_EQ(wrong.failureReason(),
              path + ":1: state 'ajar' is missing\n" + path
                  + ":1: state 'open' is not known to the program");
    std::remove(path.c_str());
}
