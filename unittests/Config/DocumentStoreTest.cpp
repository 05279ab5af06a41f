// Tests which documents become active and which change nothing.
#include "berylridge/Config/DocumentStore.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

DocumentText service(DocumentVersion version, const std::string &slots)
{
    return {"service/s", version, R"({"service": "s", "slots": )" + slots + "}"};
}

std::uint32_t activeSlots(const DocumentStore &store)
{
    return store.service(ServiceId("s"))->slots;
}

} // namespace

// A node with version 7 receives version 6 from a stale platform. Accepting it would revert limits
// that operators raised in version 7.
TEST(DocumentStore, OlderVersionChangesNothing)
{
    DocumentStore store;
    EXPECT_EQ(store.accept(service(7, "7")).status, AcceptStatus::Accepted);
    EXPECT_EQ(store.accept(service(6, "6")).status, AcceptStatus::Stale);
    EXPECT_EQ(store.accept(service(7, "7")).status, AcceptStatus::Stale);
    EXPECT_EQ(activeSlots(store), 7U);
    EXPECT_EQ(store.version("service/s"), 7U);
}

// Two operators publish different texts as version 7. Since each part of the fleet would otherwise
// consider its own text current forever, a node refuses the second one if the first one is active.
TEST(DocumentStore, SameVersionWithDifferentTextIsRefused)
{
    DocumentStore store;
    EXPECT_EQ(store.accept(service(7, "7")).status, AcceptStatus::Accepted);
    const auto result = store.accept(service(7, "8"));
    EXPECT_EQ(result.status, AcceptStatus::Refused);
    ASSERT_EQ(result.diagnostics.size(), 1U);
    EXPECT_EQ(result.diagnostics[0].str(),
              "service/s:1: version: a different text is active under the same version");
    EXPECT_EQ(activeSlots(store), 7U);
}

// If a published document is invalid, the last valid one stays active. A corrected document with a
// higher version then becomes active.
TEST(DocumentStore, InvalidDocumentKeepsThePreviousOneActive)
{
    DocumentStore store;
    EXPECT_EQ(store.accept(service(1, "1")).status, AcceptStatus::Accepted);
    const auto digest = store.digest();
    const auto refused = store.accept(service(2, "-1"));
    EXPECT_EQ(refused.status, AcceptStatus::Refused);
    EXPECT_EQ(refused.from, 1U);
    EXPECT_FALSE(refused.diagnostics.empty());
    EXPECT_EQ(activeSlots(store), 1U);
    EXPECT_EQ(store.digest(), digest);
    EXPECT_EQ(store.accept(service(3, "3")).status, AcceptStatus::Accepted);
    EXPECT_EQ(activeSlots(store), 3U);
}

TEST(DocumentStore, DocumentWithMismatchedNameIsRefused)
{
    DocumentStore store;
    EXPECT_EQ(store.accept({"service/t", 1, R"({"service": "s"})"}).status, AcceptStatus::Refused);
    EXPECT_EQ(store.accept({"other", 1, "{}"}).status, AcceptStatus::Refused);
    EXPECT_EQ(store.accept({"fleet", 0, "{}"}).status, AcceptStatus::Refused);
    EXPECT_TRUE(store.texts().empty());
    EXPECT_EQ(store.digest(), 0U);
}

TEST(DocumentStore, DigestCoversNamesAndVersionsOnly)
{
    DocumentStore one;
    DocumentStore other;
    EXPECT_EQ(one.accept(service(1, "1")).status, AcceptStatus::Accepted);
    EXPECT_EQ(one.accept({"fleet", 4, R"({"zonesOut": ["a"]})"}).status, AcceptStatus::Accepted);
    EXPECT_EQ(other.accept({"fleet", 4, R"({"zonesOut": ["a"]})"}).status, AcceptStatus::Accepted);
    EXPECT_NE(one.digest(), other.digest());
    EXPECT_EQ(other.accept(service(1, "1")).status, AcceptStatus::Accepted);
    EXPECT_EQ(one.digest(), other.digest());
    EXPECT_EQ(one.fleet()->zonesOut, std::vector {ZoneId("a")});
    EXPECT_EQ(one.fleet()->version, 4U);
    EXPECT_EQ(one.services().size(), 1U);
}
