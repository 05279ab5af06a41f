#include "EventStream.h"

#include <gtest/gtest.h>

namespace berylridge {
namespace {

std::string feedBytes(EventStream &stream, std::string_view bytes)
{
    std::string out;
    EXPECT_TRUE(stream.feed(bytes, out));
    return out;
}

TEST(EventStreamTest, forwardsOnlyCompleteEvents)
{
    EventStream stream;
    EXPECT_EQ(feedBytes(stream, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(stream.lastId(), "1");
    EXPECT_EQ(feedBytes(stream, "ta: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(stream.lastId(), "2");
    EXPECT_FALSE(stream.isDone());
}

TEST(EventStreamTest, findsTheEndForEverySplit)
{
    const std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\ndata: [DONE]\n\n";
    for (std::size_t split = 0; split <= text.size(); ++split) {
        EventStream stream;
        std::string out = feedBytes(stream, std::string_view(text).substr(0, split));
        out += feedBytes(stream, std::string_view(text).substr(split));
        EXPECT_EQ(out, text) << "split at " << split;
        EXPECT_TRUE(stream.isDone());
    }
}

TEST(EventStreamTest, dropsEventsRepeatedAfterResume)
{
    EventStream stream;
    EXPECT_EQ(feedBytes(stream, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
    stream.beginAttempt();
    EXPECT_EQ(feedBytes(stream, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(stream.lastId(), "2");
}

TEST(EventStreamTest, rejectsEventsAfterTheEnd)
{
    EventStream stream;
    EXPECT_EQ(feedBytes(stream, "data: [DONE]\n\n\n"), "data: [DONE]\n\n");
    std::string out;
    EXPECT_FALSE(stream.feed("id: 9\ndata: other\n\n", out));
    EXPECT_EQ(out, "");
}

TEST(EventStreamTest, rejectsOversizedEvents)
{
    EventStream stream;
    std::string out;
    EXPECT_FALSE(stream.feed(std::string(EventStream::maxEventBytes + 1, 'x'), out));
}

} // namespace
} // namespace berylridge
