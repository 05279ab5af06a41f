// Which documents take force, and which change nothing.
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

// A node that kept serving under version 7 hears version 6 from a stale platform: nothing may
// change, else limits that operators raised an hour ago would fall back.
TEST(DocumentStore, OlderVersionChangesNothing)
{
    DocumentStore store;
    EXPECT_EQ(store.accept(service(7, "7")).status, AcceptStatus::Accepted);
    EXPECT_EQ(store.accept(service(6, "6")).status, AcceptStatus::Stale);
    EXPECT_EQ(store.accept(service(7, "7")).status, AcceptStatus::Stale);
    EXPECT_EQ(activeSlots(store), 7U);
    EXPECT_EQ(store.version("service/s"), 7U);
}

// Two operators publish different texts as version 7. Each half of the fleet would call its own one
// current for ever, so the second is refused where the first is in force.
TEST(DocumentStore, SameVersionWithDifferentTextIsRefused)
{
    DocumentStore store;
    EXPECT_EQ(store.accept(service(7, "7")).status, AcceptStatus::Accepted);
    const auto result = store.accept(service(7, "8"));
    EXPECT_EQ(result.status, AcceptStatus::Refused);
    ASSERT_EQ(result.diagnostics.size(), 1U);
    EXPECT_EQ(result.diagnostics[0].str(),
              "service/s:1: version: another text is in force under the same version");
    EXPECT_EQ(activeSlots(store), 7U);
}

// A published document that can't be read leaves the last valid one in force; a corrected one with
// a higher version then takes effect.
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
