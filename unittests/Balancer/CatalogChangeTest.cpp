// Tests requests beside changes of the catalog.
#include "BalancerFixture.h"

using namespace berylridge;

namespace {

class CatalogChangeTest : public test::BalancerFixture
{
protected:
    /// Installs a catalog whose stream route is split as given.
    void installSplit(std::uint64_t version, const std::vector<WeightedService> &split,
                      const std::vector<std::string> &services)
    {
        Catalog catalog;
        catalog.version = version;
        catalog.routes = {route("/stream/", RequestKind::Stream, 2)};
        catalog.routes[0].isResumable = true;
        catalog.routes[0].services = split;
        for (const std::string &service : services) {
            ServiceSpec spec;
            spec.name = service;
            catalog.services.push_back(spec);
        }
        handle(CatalogArrived {std::make_shared<const Catalog>(catalog)});
    }
};

} // namespace

// Guards against a process that ends, with all its requests, when a caller takes a stream up whose
// service the route still names and the catalog no longer describes.
TEST_F(CatalogChangeTest, StreamOfAServiceThatIsNoLongerDescribedIsRefused)
{
    installSplit(1, {{"s", 1}}, {"s"});
    installTargets({"t1", "t2"});
    sendRequest("/stream/1", {});
    const auto *dispatch = findAction<Dispatch>();
    ASSERT_TRUE(dispatch);
    handle(AttemptHead {dispatch->handle, dispatch->attempt, 200, {}});
    installSplit(2, {{"s", 0}, {"other", 1}}, {"other"});
    sendRequest("/stream/2", {}, StreamResumption {"r1"});
    const auto *refuse = findAction<Refuse>();
    ASSERT_TRUE(refuse);
    EXPECT_EQ(refuse->handle, lastHandle);
    EXPECT_EQ(refuse->type, "stream-version-gone");
    EXPECT_EQ(refuse->verdict, Verdict::NotRun);
}
