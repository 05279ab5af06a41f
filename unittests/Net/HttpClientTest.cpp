#include "berylridge/Net/HttpClient.h"

#include "NodeFixture.h"

#include <string>
#include <vector>

namespace berylridge::test {
namespace {

/// Returns the path of a GET request.
std::string pathOf(const std::string &head)
{
    return head.substr(4, head.find(" HTTP") - 4);
}

/// Runs `then` after the given number of iterations of the context's queue.
void runAfterIterations(asio::io_context &context, int iterations,
                        const std::function<void()> &then)
{
    if (iterations == 0) {
        then();
        return;
    }
    asio::post(context,
               [&context, iterations, then] { runAfterIterations(context, iterations - 1, then); });
}

// Guards against a completed read of a closed call that affects the next call of the same client.
// It happens when a node closes a call while its response is already in the socket, and starts
// another: the old read completes afterwards. The new call received the old response, or the
// process ended with a segmentation fault.
TEST(HttpClientTest, newCallNeverReceivesResponseOfClosedCall)
{
    for (int iterations = 0; iterations < 6; ++iterations) {
        FakeTarget server([](FakeTargetConnection &peer) {
            while (true) {
                const std::string head = peer.readRequest();
                if (head.empty())
                    return;
                const std::string path = pathOf(head);
                peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size())
                          + "\r\n\r\n" + path);
            }
        });
        asio::io_context context;
        const auto client = std::make_shared<HttpClient>(context, server.endpoint());
        std::vector<std::string> bodies;
        const auto onReply = [&](const HttpReply &reply) { bodies.push_back(reply.body); };
        client->get("/dropped", testTimeout, onReply);
        while (server.connections() == 0)
            context.run_one_for(std::chrono::milliseconds(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(5)); // The response is in the socket.
        bool hasStartedNewCall = false;
        runAfterIterations(context, iterations, [&] {
            client->close();
            client->get("/new", testTimeout, onReply);
            hasStartedNewCall = true;
        });
        while ((!hasStartedNewCall || client->pending() > 0)
               && context.run_one_for(testTimeout) > 0)
            continue;
        ASSERT_FALSE(bodies.empty());
        EXPECT_EQ(bodies.back(), "/new") << iterations;
        client->close();
        context.run();
    }
}

// Guards against an interim response that is taken for the reply: the reply itself would then be
// read as the one to the next call.
TEST(HttpClientTest, interimResponseIsNoReply)
{
    FakeTarget server([](FakeTargetConnection &peer) {
        for (std::string head = peer.readRequest(); !head.empty(); head = peer.readRequest()) {
            peer.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: 1\r\n\r\n");
            std::this_thread::sleep_for(
                std::chrono::milliseconds(5)); // The client reads them alone.
            const std::string path = pathOf(head);
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(path.size())
                      + "\r\n\r\n" + path);
        }
    });
    asio::io_context context;
    const auto client = std::make_shared<HttpClient>(context, server.endpoint());
    std::vector<std::string> replies;
    const auto onReply = [&](const HttpReply &reply) {
        replies.push_back(std::to_string(reply.status) + ' ' + reply.body);
    };
    client->get("/first", testTimeout, onReply);
    client->get("/second", testTimeout, onReply);
    while (client->pending() > 0 && context.run_one_for(testTimeout) > 0)
        continue;
    client->close();
    EXPECT_EQ(replies, (std::vector<std::string> {"200 /first", "200 /second"}));
}

// Guards against a server that sends nothing but interim responses and keeps a call waiting.
TEST(HttpClientTest, interimResponsesWithoutEndFailTheCall)
{
    FakeTarget server([](FakeTargetConnection &peer) {
        peer.readRequest();
        while (peer.send("HTTP/1.1 102 Processing\r\n\r\n"))
            continue;
    });
    asio::io_context context;
    const auto client = std::make_shared<HttpClient>(context, server.endpoint());
    std::optional<HttpReply> reply;
    client->get("/", testTimeout, [&](HttpReply received) { reply = std::move(received); });
    context.run();
    client->close();
    EXPECT_EQ(reply.value_or(HttpReply {}).failure, AttemptFailure::InvalidResponse);
}

} // namespace
} // namespace berylridge::test
