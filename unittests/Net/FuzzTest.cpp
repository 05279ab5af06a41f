// Fuzzes untrusted input (datagrams, callers' HTTP requests and targets' responses) with fixed
// seeds and a bounded number of inputs.
#include "NodeFixture.h"

#include "berylridge/Net/Datagram.h"
#include "berylridge/Support/Hash.h"
#include "berylridge/Support/Random.h"

#include <array>
#include <mutex>

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

// Guards against damaged responses that crash the router or keep a caller waiting. The target ends
// the connection after each one, and a valid response must be relayed at the end.
TEST(FuzzTest, targetHttpSurvivesMutatedResponses)
{
    const std::string stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
    const std::vector<std::string> samples {
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nKeep-Alive: timeout=5\r\n\r\nclay",
        std::string("HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n")
            + "Transfer-Encoding: chunked\r\n\r\n4\r\nclay\r\n3;ext=1\r\nabc\r\n0\r\nX-T: "
              "x\r\n\r\n",
        "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nbroken",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nclay",
        stream + "Content-Length: 33\r\n\r\nid: 1\ndata: clay\n\n\ndata: [DONE]\n\n",
        stream + "Connection: close\r\n\r\n: note\n\nid: 7\r\ndata: clay\r\n\r\ndata: [DONE]\n\n"};
    WireProtocolHandle protocol = nativeProtocol();
    protocol.traits.acceptsUnframedResponses = true;
    protocol.traits.buffersSmallResponses = true;
    protocol.readResponseHead = [](const ResponseHead &head, const AttemptIds &) {
        ResponseInfo info;
        if (head.result_int() == 500)
            info.failure = AttemptFailure::TargetError;
        return info;
    };
    RandomEngine random(20261204);
    std::mutex mutex;
    std::string nextResponse;
    const auto setNextResponse = [&](std::string bytes) {
        const std::lock_guard lock(mutex);
        nextResponse = std::move(bytes);
    };
    FakeTarget target([&](FakeTargetConnection &peer) {
        peer.readRequest();
        const std::lock_guard lock(mutex);
        peer.send(nextResponse);
    });
    const auto forward = forwardTo(target.endpoint(), true);
    FakeCore core([&](const Event &event, Actions &actions) {
        forward(event, actions);
        for (Action &action : actions)
            if (auto *dispatch = std::get_if<Dispatch>(&action))
                dispatch->idleConnectionLimit = 0;
    });
    TestNode node(core, {}, {}, protocol);
    const std::string request = requestText("GET", "/v1/services/shop/x", "Connection: close\r\n");
    for (int i = 0; i < httpRounds; ++i) {
        const std::string bytes = mutated(samples[random() % samples.size()], random);
        setNextResponse(bytes);
        FakeCaller caller = node.caller();
        caller.send(request);
        EXPECT_TRUE(caller.readAll().starts_with("HTTP/1.1 ")) << bytes;
    }
    setNextResponse(samples[0]);
    FakeCaller good = node.caller();
    good.send(request);
    EXPECT_TRUE(good.readAll().ends_with("clay"));
}

} // namespace
} // namespace berylridge::test
