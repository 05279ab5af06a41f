#include "berylridge/Catalog/RouteTable.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

RouteSpec makeRoute(const char *host, const char *prefix)
{
    RouteSpec route;
    route.name = std::string(host) + prefix;
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

RouteTable makeTable(Catalog catalog)
{
    return RouteTable(std::make_shared<const Catalog>(std::move(catalog)));
}

} // namespace

TEST(RouteTable, LongestMatchingPathPrefixOfTheHostIsSelected)
{
    Catalog catalog;
    catalog.routes = {makeRoute("a.example", "/x/"), makeRoute("a.example", "/x/y/"),
                      makeRoute("b.example", "/")};
    const RouteTable table = makeTable(std::move(catalog));
    EXPECT_EQ(table.route("a.example", "/x/1")->pathPrefix, "/x/");
    EXPECT_EQ(table.route("A.Example", "/x/y/1?q=/z/")->pathPrefix, "/x/y/");
    EXPECT_EQ(table.route("b.example", "/anything")->pathPrefix, "/");
    EXPECT_EQ(table.route("a.example", "/xx/1"), nullptr);
    EXPECT_EQ(table.route("a.example", "/x"), nullptr);
    EXPECT_EQ(table.route("c.example", "/x/1"), nullptr);
    EXPECT_EQ(table.route("a.example", ""), nullptr);
}

// A credential is revoked while its callers are connected. The next table must not resolve it.
TEST(RouteTable, CredentialsResolveToTheirWorkspace)
{
    Catalog catalog;
    EXPECT_FALSE(makeTable(catalog).needsCredentials());
    catalog.workspaces = {{"potters", {"k1", "k2"}}, {"bells", {"k3"}}};
    const RouteTable table = makeTable(std::move(catalog));
    EXPECT_TRUE(table.needsCredentials());
    EXPECT_EQ(table.workspaceForCredential("k2")->name, "potters");
    EXPECT_EQ(table.workspaceForCredential("k3")->name, "bells");
    EXPECT_EQ(table.workspaceForCredential("k4"), nullptr);
    EXPECT_EQ(table.workspaceForCredential(""), nullptr);
}
