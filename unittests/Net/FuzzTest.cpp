// Fuzzes untrusted input (datagrams and callers' HTTP requests) with fixed seeds and a bounded
// number of inputs.
#include "NodeFixture.h"

#include "berylridge/Net/Datagram.h"
#include "berylridge/Support/Hash.h"
#include "berylridge/Support/Random.h"

#include <array>

namespace berylridge::test {
namespace {

constexpr int datagramRounds = 20000;
constexpr int httpRounds = 400;

/// Mutates bytes by replacing, erasing, duplicating, inserting noise and truncating.
std::string mutated(std::string text, RandomEngine &random)
{
    const auto count = 1 + random() % 8;
    for (std::uint64_t i = 0; i < count && !text.empty(); ++i) {
        const std::size_t at = random() % text.size();
        switch (random() % 5) {
        case 0:
            text[at] = static_cast<char>(random());
            break;
        case 1:
            text.erase(at, 1 + random() % 16);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), random() % 64));
            break;
        case 3:
            text.insert(at, 1 + random() % 4, "\r\n:,0\xff\x80 "[random() % 8]);
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

std::string withAuthenticator(std::string body)
{
    std::array<std::byte, authenticatorSize> tag {};
    computeAuthenticator(TestNode::fleetKey, std::as_bytes(std::span(body)), tag);
    body.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    return body;
}

std::vector<std::string> sampleDatagrams()
{
    const DatagramEncoder encoder(NodeId("a1"), 3, TestNode::fleetKey);
    DocumentsReply reply;
    reply.documents.push_back({"fleet", 1, "{}"});
    KeyState state;
    state.headers.push_back({"a", "b"});
    std::vector<std::string> samples;
    for (const PeerMessage &message :
         {PeerMessage(FleetMessage(Heartbeat())), PeerMessage(FleetMessage(reply)),
          PeerMessage(KeyMessage(state))}) {
        const std::vector<std::string> packed(3, packPeerMessage(message));
        std::string encoded = encoder.encode(packed);
        encoded.resize(encoded.size() - authenticatorSize);
        samples.push_back(std::move(encoded));
    }
    return samples;
}

TEST(FuzzTest, mutatedAuthenticDatagramsAreParsedOrRejected)
{
    RandomEngine random(20261203);
    const auto samples = sampleDatagrams();
    int readCount = 0;
    for (int i = 0; i < datagramRounds; ++i) {
        const std::string bytes
            = withAuthenticator(mutated(samples[random() % samples.size()], random));
        readCount += decodeDatagram(TestNode::fleetKey, std::as_bytes(std::span(bytes))) ? 1 : 0;
    }
    EXPECT_GT(readCount, 0);
    EXPECT_LT(readCount, datagramRounds);
}

TEST(FuzzTest, callerHttpSurvivesMutatedRequests)
{
    // Guards against damaged requests that crash or block the router. Each one gets a response or
    // its connection is closed, and a valid request must be served at the end.
    FakeCore core([](const Event &event, Actions &actions) {
        if (const auto *arrived = std::get_if<RequestArrived>(&event))
            actions.emplace_back(Refuse {arrived->handle, 429, Verdict::NotRun, "the queue is full",
                                         "queue-full", std::nullopt});
    });
    TestNode node(core,
                  [](Settings &settings) { settings.readTimeout = std::chrono::milliseconds(5); });
    const std::vector<std::string> samples {
        requestText("GET", "/v1/services/shop/x?y=1", "X-Cost-Hint: 2\r\nPrefer: wait=3\r\n"),
        requestText("POST", "/v1/services/shop/x", "Idempotency-Key: k\r\n", "clay and glaze"),
        requestText("POST", "/v1/services/shop/x", "Transfer-Encoding: chunked\r\n")
            + "4\r\nclay\r\n3;ext=1\r\nabc\r\n0\r\nTrailer: x\r\n\r\n",
        requestText("PUT", "/v1/services/shop/x", "Expect: 100-continue\r\n", "body")};
    RandomEngine random(20261203);
    for (int i = 0; i < httpRounds; ++i) {
        FakeCaller caller = node.caller();
        caller.send(mutated(samples[random() % samples.size()], random)
                    + mutated(samples[random() % samples.size()], random));
        caller.halfClose();
        const std::string response = caller.readAll();
        EXPECT_TRUE(response.empty() || response.starts_with("HTTP/1.1 ")) << response;
    }
    FakeCaller good = node.caller();
    good.send(requestText("GET", "/v1/services/shop/x"));
    EXPECT_TRUE(good.readUntil("queue-full").starts_with("HTTP/1.1 429 "));
    good.close();
    EXPECT_TRUE(eventually([&] { return node.node().metrics().connectionsOpen == 0; }));
}

} // namespace
} // namespace berylridge::test
