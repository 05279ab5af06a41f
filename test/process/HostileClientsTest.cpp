// Tests that clients that don't stay inside the limits can neither end a router by its memory or
// descriptors nor keep it from answering ordinary callers.
#include "ClientCrowd.h"
#include "FleetFixture.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <gtest/gtest.h>
#include <memory>
#include <sstream>

using namespace berylridge;
using namespace berylridge::test;

namespace {

constexpr const char *purchasePath = "/v1/services/catalogue/purchases";
constexpr std::size_t bodyLimit = 4 << 20; ///< Default of a router's settings.
/// Memory of the smallest VM that runs a router.
constexpr std::size_t memoryBound = 120 << 20;
/// Open files that the system allows a router in tests of descriptors.
constexpr std::size_t descriptorBound = 256;

std::string requestHead(const std::string &path, const std::string &fields)
{
    return "POST " + path + " HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer key-of-ws2\r\n"
        + fields + "\r\n";
}

/// Returns a chunked body of this many bytes, without the last chunk.
std::string unfinishedChunks(std::size_t bodyBytes, std::size_t chunkBytes)
{
    std::ostringstream out;
    for (std::size_t left = bodyBytes; left > 0; left -= std::min(left, chunkBytes)) {
        const std::size_t size = std::min(left, chunkBytes);
        out << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    }
    return out.str();
}

std::string chunkedRequest(std::size_t bodyBytes, std::size_t chunkBytes,
                           const std::string &path = purchasePath)
{
    return requestHead(path, "Transfer-Encoding: chunked\r\n")
        + unfinishedChunks(bodyBytes, chunkBytes);
}

/// Returns a request without its body, whose head has this many fields without a value.
std::string requestWithEmptyFields(const std::string &path, std::size_t count)
{
    std::string fields = "Content-Length: 100\r\n";
    for (std::size_t i = 0; i < count; ++i)
        fields += "a:\r\n";
    return requestHead(path, fields);
}

std::string requestWithLength(std::size_t announcedBytes, std::size_t sentBytes)
{
    return requestHead(purchasePath, "Content-Length: " + std::to_string(announcedBytes) + "\r\n")
        + std::string(sentBytes, 'x');
}

class HostileClients : public FleetProcess
{
protected:
    void startRouter(const Json::Value &settings = Json::Value(Json::objectValue))
    {
        FleetOptions options;
        options.zones = {"a"};
        options.routerSettings = settings;
        startFleet(options);
    }

    void startRouterWithFewDescriptors()
    {
        Json::Value settings;
        settings["descriptorLimit"] = static_cast<Json::UInt>(descriptorBound);
        startRouter(settings);
    }

    CallResult callOrdinary(const std::string &body = "{}")
    {
        CallSpec spec = m_fleet->callSpec(0, 0, "POST", purchasePath);
        spec.body = body;
        return fetch(std::move(spec));
    }

    /// Expects that the router lives, answers an ordinary request within a caller's usual retries,
    /// and has stayed within the memory of its VM, also when it has read what was sent.
    void expectServing()
    {
        CallResult result;
        EXPECT_TRUE(waitUntil([&] { return (result = callOrdinary()).status == 200; }))
            << result.status << ' ' << result.body;
        ChildProcess &router = m_fleet->routerProcess(0);
        EXPECT_FALSE(waitUntil([&] { return router.peakMemoryBytes() > memoryBound; },
                               std::chrono::seconds(3)))
            << router.peakMemoryBytes();
        EXPECT_FALSE(router.status()) << m_fleet->logs();
        RecordProperty("peakMemoryKiB", std::to_string(router.peakMemoryBytes() >> 10));
    }
};

} // namespace

// Guards against chunked bodies that stop short of their end and together fill the memory.
TEST_F(HostileClients, UnfinishedBodiesInLargeChunks)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).callers, 60);
    crowd.send(chunkedRequest(bodyLimit - (4 << 10), 64 << 10));
    expectServing();
}

// The same with chunks whose framing is as long as their content.
TEST_F(HostileClients, UnfinishedBodiesInSmallChunks)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).callers, 60);
    crowd.send(chunkedRequest(bodyLimit - (4 << 10), 16));
    expectServing();
}

// Guards against chunked bodies far over the limit, which are held up to the limit.
TEST_F(HostileClients, ChunkedBodiesOverTheLimit)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).callers, 60);
    crowd.send(chunkedRequest(10 * bodyLimit, 1 << 20));
    expectServing();
}

// Guards against bodies whose announced length is far over the limit.
TEST_F(HostileClients, AnnouncedBodiesOverTheLimit)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).callers, 60);
    crowd.send(requestWithLength(1000 * bodyLimit, 2 * bodyLimit));
    expectServing();
}

// Guards against heads of many short fields, of which each takes more memory than it has bytes.
TEST_F(HostileClients, UnfinishedRequestsWithManyFields)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).callers, 400);
    crowd.send(requestWithEmptyFields(purchasePath, 4000));
    expectServing();
}

// Guards against complete requests of the largest allowed size, which wait for targets together.
TEST_F(HostileClients, LargestRequestsTogether)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    m_fleet->controlTarget(m_fleet->services()[0].endpoint,
                           R"({"order":"late","count":60,"lateMs":5000})");
    ClientCrowd crowd(m_fleet->router(0).callers, 60);
    crowd.send(requestWithLength(bodyLimit, bodyLimit));
    m_fleet->controlTarget(m_fleet->services()[0].endpoint, R"({"order":"none"})");
    expectServing();
}

// Guards against a limit on memory that a single request of the largest allowed size meets.
TEST_F(HostileClients, SingleLargestRequestIsServed)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    const CallResult result = callOrdinary(std::string(bodyLimit, 'x'));
    EXPECT_EQ(result.status, 200U) << result.body;
    expectServing();
}

// Guards against connections that send nothing and keep all ordinary callers out.
TEST_F(HostileClients, SilentConnections)
{
    ASSERT_NO_FATAL_FAILURE(startRouterWithFewDescriptors());
    ClientCrowd crowd(m_fleet->router(0).callers, 200);
    EXPECT_EQ(crowd.connected(), 200U);
    EXPECT_EQ(callOrdinary().status, 200U);
    EXPECT_LE(m_fleet->routerProcess(0).openDescriptors(), descriptorBound);
    expectServing();
}

// Guards against connections with the beginning of a head that keep all ordinary callers out.
TEST_F(HostileClients, UnfinishedHeads)
{
    ASSERT_NO_FATAL_FAILURE(startRouterWithFewDescriptors());
    ClientCrowd crowd(m_fleet->router(0).callers, 200);
    crowd.send("POST " + std::string(purchasePath) + " HTTP/1.1\r\nHost: rou");
    EXPECT_EQ(callOrdinary().status, 200U);
    EXPECT_LE(m_fleet->routerProcess(0).openDescriptors(), descriptorBound);
    expectServing();
}

// Guards against unfinished bodies at the operators' listener that together fill the memory.
TEST_F(HostileClients, UnfinishedBodiesAtTheAdminListener)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).admin, 240);
    crowd.send(chunkedRequest(960 << 10, 64 << 10, "/rpc"));
    expectServing();
    EXPECT_TRUE(m_fleet->isReady(0));
}

// Guards against unfinished bodies at the listener for nodes that together fill the memory.
TEST_F(HostileClients, UnfinishedBodiesAtThePeerListener)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).peers, 240);
    crowd.send(chunkedRequest(960 << 10, 64 << 10, "/rpc"));
    expectServing();
}

// Guards against heads of many short fields at the listener for nodes, as for callers.
TEST_F(HostileClients, UnfinishedRequestsWithManyFieldsAtThePeerListener)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).peers, 900);
    crowd.send(requestWithEmptyFields("/rpc", 1900));
    expectServing();
}

// Guards against idle connections to the operators' listener that keep health checks out.
TEST_F(HostileClients, SilentConnectionsAtTheAdminListener)
{
    ASSERT_NO_FATAL_FAILURE(startRouter());
    ClientCrowd crowd(m_fleet->router(0).admin, 300);
    EXPECT_TRUE(m_fleet->isReady(0));
    expectServing();
}

// Guards against memory and descriptors that each wave of clients leaves behind. Waves of different
// kinds overlap. BERYLRIDGE_WAVES_SEED selects other waves.
TEST_F(HostileClients, WavesOfAllKinds)
{
    constexpr std::size_t waves = 24;
    constexpr std::size_t openWaves = 4;
    ASSERT_NO_FATAL_FAILURE(startRouterWithFewDescriptors());
    const char *const seed = std::getenv("BERYLRIDGE_WAVES_SEED");
    RandomEngine random(seed ? std::stoul(seed) : 71);
    const auto below = [&random](std::size_t limit) { return random() % limit; };
    std::deque<std::unique_ptr<ClientCrowd>> crowds;
    for (std::size_t wave = 0; wave < waves; ++wave) {
        const std::vector<std::string> kinds {
            chunkedRequest(below(bodyLimit), 1 + below(64 << 10)),
            chunkedRequest(bodyLimit + below(bodyLimit), 1 << 16),
            requestWithLength(bodyLimit, below(bodyLimit)),
            requestWithLength(below(bodyLimit), bodyLimit),
            "POST / HTTP/1.1\r\n",
            {},
        };
        crowds.push_back(std::make_unique<ClientCrowd>(m_fleet->router(0).callers, 10 + below(30)));
        crowds.back()->send(kinds[below(kinds.size())]);
        if (crowds.size() > openWaves)
            crowds.pop_front();
        EXPECT_TRUE(waitUntil([&] { return callOrdinary().status == 200; }));
        EXPECT_LE(m_fleet->routerProcess(0).openDescriptors(), descriptorBound);
    }
    expectServing();
}
