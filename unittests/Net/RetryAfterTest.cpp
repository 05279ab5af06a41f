// Tests what is read of a response's Retry-After field.
#include "berylridge/Net/RetryAfter.h"

#include <gtest/gtest.h>

namespace berylridge::test {
namespace {

using namespace std::chrono_literals;

TargetAdvice adviceOf(unsigned status, const char *value)
{
    ResponseHead head;
    head.result(status);
    head.set(http::field::retry_after, value);
    TargetAdvice advice;
    readRetryAfter(head, advice);
    return advice;
}

TEST(RetryAfterTest, readsSecondsAndFractions)
{
    EXPECT_EQ(*parseRetryAfter("3"), Duration(3s));
    EXPECT_EQ(*parseRetryAfter("0.25"), Duration(250ms));
    EXPECT_EQ(*parseRetryAfter("0"), Duration(0));
}

// Guards against an overflow of the clock by a time that is too long.
TEST(RetryAfterTest, boundsLongTimes)
{
    for (const char *text : {"86401", "99999999999999999999", "123456789012345678901234567890",
                             "1000000000000000000000000000000000000000000000000000000000000000000"
                             "00000000000000000000000000000000000000000000000000000000000000000000"
                             "00000000000000000000000000000000000000000000000000000000000000000000"
                             "00000000000000000000000000000000000000000000000000000000000000000000"
                             "00000000000000000000000000000000000000000000000000000000000000000"})
        EXPECT_EQ(*parseRetryAfter(text), maxParsedRetryAfter) << text;
}

// Guards against a text that is no time and pauses a target.
TEST(RetryAfterTest, rejectsInvalidTexts)
{
    for (const char *text : {"", " ", "-1", "-0.5", "soon", "3s", "3 4", "1e3", "inf", "nan",
                             "0x10", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        const auto parsed = parseRetryAfter(text);
        EXPECT_FALSE(parsed) << text;
        EXPECT_FALSE(parsed.failureReason().empty()) << text;
    }
}

// Guards against a pause that a response of another kind doesn't ask for.
TEST(RetryAfterTest, countsOnlyInRejections)
{
    EXPECT_EQ(adviceOf(503, "3").retryAfter, Duration(3s));
    EXPECT_EQ(adviceOf(429, "3").retryAfter, Duration(3s));
    EXPECT_TRUE(adviceOf(200, "3").isEmpty());
    EXPECT_TRUE(adviceOf(503, "0").isEmpty());
    EXPECT_FALSE(adviceOf(503, "soon").invalidRetryAfter.empty());
    EXPECT_FALSE(adviceOf(503, "soon").retryAfter);
}

} // namespace
} // namespace berylridge::test
