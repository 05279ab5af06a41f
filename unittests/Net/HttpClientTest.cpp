#include "berylridge/Net/HttpClient.h"

#include "NodeFixture.h"

#include <string>
#include <vector>

namespace berylridge::test {
namespace {

/// Runs `then` after so many turns of the context's queue.
void afterTurns(asio::io_context &context, int turns, const std::function<void()> &then)
{
    if (turns == 0) {
        then();
        return;
    }
    asio::post(context, [&context, turns, then] { afterTurns(context, turns - 1, then); });
}

// A node drops a call and makes another by the same client, while the answer to the dropped one is
// already in its socket. The operation that has read it ends after the client has begun anew. It
// must touch neither the new connection nor the new call: the new call got the old answer, or the
// process ended with a segmentation fault.
TEST(HttpClientTest, givesNoCallTheAnswerOfADroppedOne)
{
    for (int turns = 0; turns < 6; ++turns) {
        FakeTarget server([](TargetPeer &peer) {
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
        std::vector<std::string> answers;
        const auto take = [&](const HttpReply &reply) { answers.push_back(reply.body); };
        client->get("/dropped", patience, take);
        while (server.connections() == 0)
            context.run_one_for(std::chrono::milliseconds(1));
        std::this_thread::sleep_for(std::chrono::milliseconds(5)); // The answer is in the socket.
        bool hasBegunAnew = false;
        afterTurns(context, turns, [&] {
            client->close();
            client->get("/new", patience, take);
            hasBegunAnew = true;
        });
        while ((!hasBegunAnew || client->pending() > 0) && context.run_one_for(patience) > 0)
            continue;
        ASSERT_FALSE(answers.empty());
        EXPECT_EQ(answers.back(), "/new") << turns;
        client->close();
        context.run();
    }
}

} // namespace
} // namespace berylridge::test
