// Tests the publishing step: the documents built from all source files, and their versions.
#include "berylridge/Config/Publication.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

std::string digestOf(int i)
{
    const auto digits = std::to_string(i);
    return std::string(64 - digits.size(), '0') + digits;
}

DocumentSet setOf(std::initializer_list<DocumentText> documents)
{
    DocumentSet set;
    for (const auto &document : documents)
        mergeNewer(set, document);
    return set;
}

DocumentVersion nextVersion(const std::string &text, const DocumentSet &published)
{
    std::vector<DocumentText> documents {{"fleet", 0, text}};
    assignVersions(documents, published);
    return documents[0].version;
}

} // namespace

TEST(Publication, VersionsRiseOnlyWhereTheTextChanges)
{
    EXPECT_EQ(nextVersion("x", {}), 1U);
    EXPECT_EQ(nextVersion("x", setOf({{"fleet", 4, "x"}})), 4U);
    EXPECT_EQ(nextVersion("y", setOf({{"fleet", 4, "x"}})), 5U);
    EXPECT_EQ(nextVersion("x", setOf({{"fleet", 4, "x"}, {"fleet", 9, "y"}, {"fleet", 3, "z"}})),
              10U);
}

// Two operators published different texts as version 4, and each text is active on some nodes. If
// either text were published as version 4 again, the nodes would stay divided, so the next version
// must be higher.
TEST(Publication, NextVersionExceedsConflictingVersions)
{
    const auto split = setOf({{"fleet", 4, "x"}, {"fleet", 4, "y"}});
    EXPECT_EQ(nextVersion("x", split), 5U);
    EXPECT_EQ(nextVersion("y", split), 5U);
}

TEST(Publication, OversizedDocumentIsAnError)
{
    std::string workspaces;
    std::string shares;
    for (int i = 0; i < 9000; ++i) {
        const auto name = "\"workspace-" + std::to_string(i) + "\": ";
        workspaces += (i ? ",\n" : "") + name + "\"" + digestOf(i) + "\"";
        shares += (i ? ",\n" : "") + name + "1";
    }
    const std::vector<SourceFile> sources {
        {"a/workspaces.berylridge.json", "{\"workspaces\": {" + workspaces + "}}"},
        {"a/shop.berylridge.json", R"({"service": "shop", "workspaces": {)" + shares + "}}"}};
    const auto publication = makePublication(sources);
    ASSERT_EQ(publication.diagnostics.size(), 1U);
    const auto message = publication.diagnostics[0].str();
    EXPECT_NE(message.find("at most 1000000 are allowed"), std::string::npos) << message;
}

TEST(Publication, WarnsOfSuspiciousButValidSources)
{
    const std::vector<SourceFile> sources {
        {"one.berylridge.json", R"({"service": "one", "targets": {"a": {"x": "10.0.0.1:1"}}})"},
        {"two.berylridge.json", R"({"service": "two", "targets": {"a": {"y": "10.0.0.1:1"}}})"},
        {"fleet.berylridge.json", R"({"zonesOut": ["b"]})"}};
    const auto publication = makePublication(sources);
    EXPECT_TRUE(publication.diagnostics.empty());
    EXPECT_EQ(publication.documents.size(), 3U);
    EXPECT_EQ(
        publication.warnings,
        (std::vector<std::string> {
            "service one has no workspaces: every caller will be refused",
            "services one and two share the target at 10.0.0.1:1: each counts its slots separately",
            "service two has no workspaces: every caller will be refused",
            "zone b is to be taken out of service, but no service has targets there"}));
}
