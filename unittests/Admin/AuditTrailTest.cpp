// Tests the bounded audit trail of one node.
#include "berylridge/Admin/AuditTrail.h"

#include <gtest/gtest.h>
#include <thread>

using namespace berylridge;

namespace {

AuditEntry entry(std::string what)
{
    AuditEntry built;
    built.what = std::move(what);
    return built;
}

std::vector<std::string> actionsOf(const AuditPage &page)
{
    std::vector<std::string> names;
    for (const auto &numbered : page.entries)
        names.push_back(numbered.entry.what);
    return names;
}

using Names = std::vector<std::string>;

} // namespace

TEST(AuditTrail, ReaderResumesAfterLastSequence)
{
    AuditTrail trail;
    trail.appendChange(entry("a"));
    trail.appendRead(entry("b"));
    trail.appendChange(entry("c"));

    const auto first = trail.after(0, 2);
    EXPECT_EQ(actionsOf(first), (Names {"a", "b"}));
    EXPECT_TRUE(first.hasMore);
    const auto second = trail.after(first.last, 2);
    EXPECT_EQ(actionsOf(second), Names {"c"});
    EXPECT_FALSE(second.hasMore);
    EXPECT_FALSE(second.hasGap);
    EXPECT_EQ(trail.after(second.last, 2).last, second.last);
}

// Guards against reads that evict changes: a dashboard polls the status every second for an hour
// after an operator evacuated a zone. The entries of its calls are evicted, but the operator's
// entry must remain.
TEST(AuditTrail, ReadsDontEvictChanges)
{
    AuditTrail trail({4, 4});
    trail.appendChange(entry("zone b out"));
    for (int i = 0; i < 3600; ++i)
        trail.appendRead(entry("status"));
    const auto page = trail.after(0, 100);
    EXPECT_EQ(actionsOf(page), (Names {"zone b out", "status", "status", "status", "status"}));
    EXPECT_EQ(page.last, 3601U);
}

// A reader that was away while entries were evicted must see the gap; otherwise it would report an
// incomplete trail as complete.
TEST(AuditTrail, EvictedEntriesAreReportedAsGap)
{
    AuditTrail trail({2, 2});
    for (const auto *what : {"a", "b", "c"})
        trail.appendChange(entry(what));
    EXPECT_TRUE(trail.after(0, 10).hasGap);
    EXPECT_FALSE(trail.after(1, 10).hasGap);
    EXPECT_EQ(actionsOf(trail.after(1, 10)), (Names {"b", "c"}));
}

TEST(AuditTrail, ConcurrentAppendsAndReadsAreSafe)
{
    AuditTrail trail({100, 100});
    const auto write = [&] {
        for (int i = 0; i < 1000; ++i)
            trail.appendChange(entry("x"));
    };
    std::thread one(write);
    std::thread other(write);
    std::uint64_t last = 0;
    for (int i = 0; i < 100; ++i) {
        for (const auto &numbered : trail.after(last, 10).entries) {
            EXPECT_GT(numbered.sequence, last);
            last = numbered.sequence;
        }
    }
    one.join();
    other.join();
    EXPECT_EQ(trail.after(0, 1000).last, 2000U);
}
