// Tests requests beside changes of the catalog, the settings and the fleet.
// BERYLRIDGE_CHANGE_SEEDS sets the number of seeds.
#include "BalancerFixture.h"
#include "SimulatedChanges.h"

#include <cstdlib>
#include <sstream>
#include <string>

using namespace berylridge;

namespace {

constexpr std::uint64_t defaultSeeds = 4;

std::uint64_t seedCount()
{
    const char *text = std::getenv("BERYLRIDGE_CHANGE_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : defaultSeeds;
}

std::string describe(const test::SimulatedChanges::Result &result)
{
    std::ostringstream text;
    text << "requests " << result.requests << ", answered " << result.answered << ", refused "
         << result.refused << ", cut " << result.cut << " (after silence " << result.cutAfterSilence
         << "), retried " << result.retried << ", taken up " << result.takenUp << ", changes "
         << result.changes << ", planned stops " << result.plannedStops << ", rotation changes "
         << result.rotationChanges << ", by type:";
    for (const auto &[type, count] : result.refusals)
        text << ' ' << type << ' ' << count;
    return text.str();
}

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
    const auto *action = findAction<Dispatch>();
    ASSERT_TRUE(action);
    const Dispatch dispatch = *action;
    handle(AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
    handle(FirstEventRelayed {dispatch.handle, dispatch.attempt});
    installSplit(2, {{"s", 0}, {"other", 1}}, {"other"});
    sendRequest("/stream/2", {}, StreamResumption {"r1"});
    const auto *refuse = findAction<Refuse>();
    ASSERT_TRUE(refuse);
    EXPECT_EQ(refuse->handle, lastHandle);
    EXPECT_EQ(refuse->type, "stream-version-gone");
    EXPECT_EQ(refuse->verdict, Verdict::NotRun);
}

// Guards against a request that a change loses: one that is forgotten, ends twice, ends after its
// deadline, or is aborted or cut while its target runs it.
TEST(CatalogChangeFleetTest, EachRequestEndsOnceAndInTime)
{
    for (std::uint64_t seed = 1; seed <= seedCount(); ++seed) {
        test::SimulatedChangesOptions options;
        options.seed = seed;
        const test::SimulatedChanges::Result result = test::SimulatedChanges(options).run();
        for (const std::string &fault : result.faults)
            ADD_FAILURE() << "seed " << seed << ": " << fault;
        EXPECT_EQ(result.cutAfterSilence, 0U) << "seed " << seed;
        EXPECT_GT(result.answered, result.requests / 4) << "seed " << seed;
        EXPECT_GT(result.retried, 0U) << "seed " << seed;
        EXPECT_GT(result.changes, 0U) << "seed " << seed;
        RecordProperty("seed_" + std::to_string(seed), describe(result));
    }
}
