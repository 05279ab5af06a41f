#include "berylridge/Support/LogEvent.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace berylridge;

TEST(LogEvent, NumbersAreSortedAndUnique)
{
    const auto catalogue = logEventCatalogue();
    const auto byNumber = [](const LogEventInfo &a, const LogEventInfo &b) { return a.id < b.id; };
    EXPECT_TRUE(std::is_sorted(catalogue.begin(), catalogue.end(), byNumber));
    for (std::size_t i = 1; i < catalogue.size(); ++i)
        EXPECT_NE(catalogue[i - 1].id, catalogue[i].id);
}

TEST(LogEvent, EveryEventIsFound)
{
    for (const auto &info : logEventCatalogue())
        EXPECT_EQ(logEventInfo(info.id).name, info.name);
}
