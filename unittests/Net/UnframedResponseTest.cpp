// Tests responses that have neither a length nor chunks and end with their connection.
#include "NodeFixture.h"

namespace berylridge::test {
namespace {

constexpr const char *streamHead
    = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n";
constexpr const char *plainHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
constexpr const char *twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// More than the sockets between the router and a target buffer.
constexpr std::size_t uploadBytes = 8 << 20;

/// Serves one request with a target that sends the text and then ends the connection.
class UnframedResponseTest : public testing::Test
{
protected:
    void serve(const std::string &text, bool isReset = false)
    {
        serveWith(
            [&](FakeTargetConnection &peer) {
                peer.readRequest();
                peer.send(text);
                if (isReset)
                    peer.reset();
            },
            "prompt");
    }

    /// Serves a long request with a target that sends the text before it has read the body, and
    /// then ends the connection.
    void serveUpload(const std::string &text, const FakeTarget::Script &end)
    {
        serveWith(
            [&](FakeTargetConnection &peer) {
                peer.readHead();
                peer.send(text);
                end(peer);
            },
            std::string(uploadBytes, 'x'));
    }

    void serveWith(const FakeTarget::Script &script, const std::string &body)
    {
        FakeTarget target(script);
        FakeCore core(forwardTo(target.endpoint()));
        {
            TestNode node(
                core, [](Settings &settings) { settings.bodyLimit = uploadBytes; }, {}, protocol);
            FakeCaller caller = node.caller();
            caller.send(
                requestText("POST", "/v1/services/assistant/chat", "Connection: close\r\n", body));
            response = caller.readAll();
            isServed = true;
            // The caller may have read the last byte before the core learns of the attempt's end.
            EXPECT_TRUE(eventually([&] {
                return !core.receivedEvents<AttemptDone>().empty()
                    || !core.receivedEvents<AttemptFailed>().empty();
            }));
        }
        done = core.receivedEvents<AttemptDone>();
        failed = core.receivedEvents<AttemptFailed>();
    }

    void expectBrokenOff(AttemptFailure failure)
    {
        EXPECT_TRUE(done.empty());
        ASSERT_EQ(failed.size(), 1U);
        EXPECT_EQ(failed[0].failure, failure);
        EXPECT_EQ(response.find("\r\n0\r\n\r\n"), std::string::npos) << response;
    }

    void expectRelayed(std::string_view body)
    {
        EXPECT_TRUE(failed.empty());
        EXPECT_EQ(done.size(), 1U);
        EXPECT_NE(response.find(body), std::string::npos) << response;
    }

    WireProtocolHandle protocol = protocolWithUnframedResponses();
    std::atomic<bool> isServed {false}; ///< The caller's connection has ended.
    std::string response;
    std::vector<AttemptDone> done;
    std::vector<AttemptFailed> failed;
};

} // namespace

TEST_F(UnframedResponseTest, CompleteStreamIsRelayed)
{
    serve(std::string(streamHead) + twoEvents);
    ASSERT_EQ(done.size(), 1U);
    EXPECT_TRUE(done[0].endedWithConnection);
    EXPECT_NE(response.find("data: b\n\n"), std::string::npos) << response;
    EXPECT_TRUE(response.ends_with("0\r\n\r\n")) << response;
}

TEST_F(UnframedResponseTest, CompleteBodyIsRelayed)
{
    serve(std::string(plainHead) + "clay");
    ASSERT_EQ(done.size(), 1U);
    EXPECT_TRUE(done[0].endedWithConnection);
    EXPECT_NE(response.find("clay"), std::string::npos) << response;
}

// Guards against a partial event that looks like the end of the stream.
TEST_F(UnframedResponseTest, StreamThatEndsInsideAnEventIsBrokenOff)
{
    serve(std::string(streamHead) + twoEvents + "id: 3\ndata: c");
    expectBrokenOff(AttemptFailure::TruncatedResponse);
}

// Guards against the stream of a target that ended before its first event being taken for a
// complete one.
TEST_F(UnframedResponseTest, StreamThatEndsBeforeItsFirstEventIsBrokenOff)
{
    serve(streamHead);
    expectBrokenOff(AttemptFailure::TruncatedResponse);
}

// Guards against the response of a target that ended after its head being taken for an empty one.
TEST_F(UnframedResponseTest, SuccessThatEndsBeforeItsBodyIsBrokenOff)
{
    serve(plainHead);
    expectBrokenOff(AttemptFailure::TruncatedResponse);
    EXPECT_EQ(response.find("200 OK"), std::string::npos) << response;
}

// An error needs no body to be understood.
TEST_F(UnframedResponseTest, ErrorWithoutABodyIsRelayed)
{
    serve("HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n");
    ASSERT_EQ(done.size(), 1U);
    EXPECT_NE(response.find("404 Not Found"), std::string::npos) << response;
}

// Guards against a response whose head is cut off being relayed as a complete one without a length.
TEST_F(UnframedResponseTest, HeadThatIsCutOffAnywhereIsNoResponse)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
    for (const std::string &before : {std::string(), interim}) {
        for (std::size_t size = 1; size < head.size(); ++size) {
            for (const bool isReset : {false, true}) {
                serve(before + head.substr(0, size), isReset);
                EXPECT_TRUE(done.empty()) << size;
                EXPECT_EQ(failed.size(), 1U) << size;
                EXPECT_EQ(response.find("200 OK"), std::string::npos) << size << ' ' << response;
            }
        }
    }
}

// Guards against a reset that looks like the end of the response.
TEST_F(UnframedResponseTest, ResetStreamIsBrokenOff)
{
    serve(std::string(streamHead) + twoEvents, true);
    expectBrokenOff(AttemptFailure::Reset);
}

// Guards against a reset that arrives while the request is being written and looks like the end of
// the response: the system reports it to the write, and the read meets an end of file.
TEST_F(UnframedResponseTest, ResetDuringTheRequestIsBrokenOff)
{
    const std::string error = "HTTP/1.1 404 Not Found\r\nConnection: close\r\n\r\n";
    for (const std::string &text : {plainHead + std::string("ten bytes!"),
                                    std::string(streamHead) + twoEvents, error, error + "none"}) {
        serveUpload(text, [](FakeTargetConnection &peer) { peer.reset(); });
        expectBrokenOff(AttemptFailure::Reset);
    }
}

// Guards against the same reset from a target that closes its socket with the request unread.
TEST_F(UnframedResponseTest, CloseWithUnreadRequestIsBrokenOff)
{
    serveUpload(plainHead + std::string("ten bytes!"), [](FakeTargetConnection &) {});
    expectBrokenOff(AttemptFailure::Reset);
}

// Guards against an error of which a part was received before the reset, and that is held and
// relayed as complete.
TEST_F(UnframedResponseTest, ErrorThatIsResetDuringTheRequestIsNotHeld)
{
    protocol.readResponseHead = [](const ResponseHead &, const AttemptIds &) {
        ResponseInfo info;
        info.failure = AttemptFailure::TargetError;
        return info;
    };
    const std::string text = "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\npart";
    serveUpload(text, [](FakeTargetConnection &peer) { peer.reset(); });
    expectBrokenOff(AttemptFailure::TargetError);
    EXPECT_FALSE(failed[0].hasHeldResponse);
    serve(text);
    expectBrokenOff(AttemptFailure::TargetError);
    EXPECT_TRUE(failed[0].hasHeldResponse);
}

// Guards against a complete response being lost to the reset that follows it.
TEST_F(UnframedResponseTest, ResponseWithALengthBeforeTheResetIsRelayed)
{
    serveUpload("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nclay",
                [](FakeTargetConnection &peer) { peer.reset(); });
    expectRelayed("\r\n\r\nclay");
}

// Guards against an early response that waits for a request which its target doesn't read.
TEST_F(UnframedResponseTest, EarlyResponseIsCompleteWhileTheRequestIsUnread)
{
    for (const std::string head : {plainHead, streamHead}) {
        isServed = false;
        serveUpload({}, [&](FakeTargetConnection &peer) {
            std::this_thread::sleep_for(
                std::chrono::milliseconds(50)); // The write comes to a halt.
            peer.send(head + twoEvents);
            peer.halfClose();
            eventually([this] { return isServed.load(); });
        });
        expectRelayed("data: b\n\n");
    }
}

// Guards against a complete response being lost to the reset of a target that ended its side
// properly before.
TEST_F(UnframedResponseTest, ResetAfterTheEndOfTheResponseIsIgnored)
{
    serveUpload(plainHead + std::string("clay"), [](FakeTargetConnection &peer) {
        peer.halfClose();
        peer.reset();
    });
    expectRelayed("clay");
}

} // namespace berylridge::test
