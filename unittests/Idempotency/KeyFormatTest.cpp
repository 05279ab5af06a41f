#include "berylridge/Idempotency/KeyFormat.h"

#include "Idempotency/KeyFleet.h"

#include <gtest/gtest.h>

using namespace berylridge;
using namespace berylridge::test;

namespace {

ParsedKey parseCallerKey(std::string_view callerKey)
{
    return parseKey(scopedKey(ServiceId("shop"), WorkspaceId("w1"), callerKey));
}

} // namespace

TEST(KeyFormat, ReadsTimestampOfUuidVersion7)
{
    // The example of RFC 9562, appendix A.6: 22 February 2022 19:22:22 GMT.
    const ParsedKey text = parseCallerKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    EXPECT_EQ(text.kind, KeyKind::Timestamped);
    EXPECT_EQ(text.createdAt.time_since_epoch().count(), 1645557742000);
}

// If a key's creation time is parsed wrongly, witnesses vote for it although they do not
// know the keys of its time.
TEST(KeyFormat, OtherTextIsOpaque)
{
    for (const std::string_view text :
         {"", "order-17", "017F22E2-79B0-4CC3-98C4-DC0C0C07398F",
          "017F22E2-79B0-7CC3-18C4-DC0C0C07398F", "017F22E2-79B0-7CC3-98C4-DC0C0C07398",
          "017F22E279B07CC398C4DC0C0C07398F", "issued-", "issued-1-2", "issued-1-2-3-",
          "issued-x-2-3-a1", "issued-9999999999999999-2-3-a1"}) {
        EXPECT_EQ(parseCallerKey(text).kind, KeyKind::Opaque) << text;
    }
}

TEST(KeyFormat, IssuedKeyNamesItsIssuer)
{
    const ParsedKey made {KeyKind::Issued, WallTime(std::chrono::milliseconds(1234)),
                          NodeId("zone-1-a"), 99, 7};
    const ParsedKey read = parseCallerKey(formatIssuedKey(made));
    EXPECT_EQ(read.kind, KeyKind::Issued);
    EXPECT_EQ(read.createdAt, made.createdAt);
    EXPECT_EQ(read.issuer, made.issuer);
    EXPECT_EQ(read.issuerIncarnation, 99U);
    EXPECT_EQ(read.sequence, 7U);
}

TEST(KeyFormat, KeysOfTwoWorkspacesDiffer)
{
    EXPECT_NE(scopedKey(ServiceId("shop"), WorkspaceId("w1"), "k"),
              scopedKey(ServiceId("shop"), WorkspaceId("w2"), "k"));
}
