#include "berylridge/Net/HttpClient.h"

#include "NodeFixture.h"

#include <string>
#include <vector>

namespace berylridge::test {
namespace {

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
                const std::string path = head.substr(4, head.find(" HTTP") - 4);
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

} // namespace
} // namespace berylridge::test
