#include "berylridge/Policy/Reclaim.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace berylridge::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Indexes = std::vector<std::size_t>;

constexpr std::size_t mebibyte = 1 << 20;
constexpr std::size_t limitBytes = 32 * mebibyte;

std::vector<WaitingConnection> connections()
{
    return {{ConnectionUse::KeptAlive, seconds(9)},
            {ConnectionUse::Receiving, milliseconds(20)},
            {ConnectionUse::Unused, seconds(2)},
            {ConnectionUse::Receiving, seconds(3)},
            {ConnectionUse::KeptAlive, seconds(1)}};
}

} // namespace

TEST(SelectRequestsToDrop, dropsNothingWhileMemoryIsLeft)
{
    const std::vector<PartialRequest> requests(5, {1, 4 * mebibyte, seconds(5)});
    EXPECT_EQ(selectRequestsToDrop(requests, {20 * mebibyte, limitBytes}), Indexes {});
}

// Guards against a crowd of one credential that pushes out the requests of others.
TEST(SelectRequestsToDrop, dropsThoseOfTheCredentialThatHoldsMost)
{
    std::vector<PartialRequest> requests(6, {1, 4 * mebibyte, seconds(1)});
    requests.push_back({2, 2 * mebibyte, seconds(9)});
    const Indexes dropped = selectRequestsToDrop(requests, {26 * mebibyte, limitBytes});
    EXPECT_EQ(dropped.size(), 2U);
    EXPECT_EQ(std::count(dropped.begin(), dropped.end(), 6U), 0);
}

// Guards against bodies that stop short of their end and outlast those that make progress.
TEST(SelectRequestsToDrop, dropsWhatHoldsMostForTheLongestTime)
{
    std::vector<PartialRequest> requests(6, {1, 4 * mebibyte, milliseconds(200)});
    requests[3].age = seconds(5);
    EXPECT_EQ(selectRequestsToDrop(requests, {24 * mebibyte + 1, limitBytes}), Indexes {3});
}

// Guards against large requests that keep small ones from the rest of the memory.
TEST(SelectRequestsToDrop, smallRequestsUseTheReservedMemory)
{
    std::vector<PartialRequest> requests(50, {1, 4096, seconds(1)});
    EXPECT_EQ(selectRequestsToDrop(requests, {31 * mebibyte, limitBytes}), Indexes {});
    requests.push_back({2, mebibyte, milliseconds(1)});
    EXPECT_EQ(selectRequestsToDrop(requests, {31 * mebibyte, limitBytes}), Indexes {50});
}

// Guards against small requests that fill the memory together.
TEST(SelectRequestsToDrop, dropsSmallRequestsAtTheLimit)
{
    constexpr std::size_t requestBytes = 32 << 10;
    const std::vector<PartialRequest> requests(2000, {1, requestBytes, seconds(1)});
    const std::size_t heldBytes = requests.size() * requestBytes;
    const Indexes dropped = selectRequestsToDrop(requests, {heldBytes, limitBytes});
    EXPECT_LE(heldBytes - dropped.size() * requestBytes, limitBytes);
}

TEST(SelectConnectionsToClose, closesUnusedAndSlowOnesFirst)
{
    EXPECT_EQ(selectConnectionsToClose(connections(), 2), (Indexes {3, 2}));
}

TEST(SelectConnectionsToClose, closesIdleOnesBeforeQuickRequests)
{
    EXPECT_EQ(selectConnectionsToClose(connections(), 9), (Indexes {3, 2, 0, 4, 1}));
}

} // namespace berylridge::test
