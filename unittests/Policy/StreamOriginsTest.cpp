#include "berylridge/Policy/StreamOrigins.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr Duration lifetime = 10s;

class StreamOriginsTest : public testing::Test
{
protected:
    void record(StreamKey stream, VersionKey version, std::uint32_t attempt = 1)
    {
        origins.record(stream, {7, version, attempt}, lifetime, clock.now());
    }

    VersionKey versionOf(StreamKey stream) const
    {
        const StreamOrigin *origin = origins.find(stream);
        return origin ? origin->version : unknownVersion;
    }

    ManualClock clock;
    StreamOrigins origins;
};

} // namespace

// Guards against an entry of a failed attempt that arrives late and replaces that of the attempt
// which brought the first event.
TEST_F(StreamOriginsTest, LaterAttemptHolds)
{
    record(1, 100, 1);
    record(1, 200, 2);
    record(1, 100, 1);
    EXPECT_EQ(versionOf(1), 200U);
}

TEST_F(StreamOriginsTest, EntriesExpireUnlessTheyAreRecordedAgain)
{
    record(1, 100);
    record(2, 100);
    clock.advance(lifetime / 2);
    record(2, 100);
    clock.advance(lifetime / 2);
    origins.expire(clock.now());
    EXPECT_EQ(versionOf(1), unknownVersion);
    EXPECT_EQ(versionOf(2), 100U);
    clock.advance(lifetime);
    origins.expire(clock.now());
    EXPECT_EQ(origins.size(), 0U);
}

// Guards against memory that grows with the number of streams.
TEST_F(StreamOriginsTest, OldestStreamsAreForgottenBeyondTheLimit)
{
    for (StreamKey stream = 0; stream < StreamOrigins::maxStreams + 10; ++stream)
        record(stream, 100);
    EXPECT_EQ(origins.size(), StreamOrigins::maxStreams);
    EXPECT_EQ(versionOf(0), unknownVersion);
    EXPECT_EQ(versionOf(StreamOrigins::maxStreams + 9), 100U);
}
