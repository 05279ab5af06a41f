// Tests that a response whose head no rule of HTTP allows is relayed to no caller, says nothing
// about its target and is not stored.
#include "NodeFixture.h"

#include "berylridge/Net/HttpClient.h"
#include "berylridge/Net/RetryAfter.h"

#include <array>

namespace berylridge::test {
namespace {

constexpr const char *path = "/v1/services/shop/orders";
constexpr const char *okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole";

/// RFC 9110, section 15: status codes are within 100 to 599.
constexpr auto invalidStatuses
    = std::to_array<const char *>({"000", "001", "042", "099", "600", "700", "999"});

/// Lines that are no field lines by RFC 9112, section 5.
const std::array<std::string, 15> &invalidLines()
{
    static const std::array<std::string, 15> lines {"X A: 1",
                                                    "X\tA: 1",
                                                    "X\x01: 1",
                                                    std::string("X\0: 1", 5),
                                                    "X\x7f: 1",
                                                    "X\x80: 1",
                                                    "X\xff: 1",
                                                    "X(A): 1",
                                                    "X/A: 1",
                                                    ": 1",
                                                    "X-A",
                                                    "X-A : 1",
                                                    "Content-Length : 4",
                                                    "Transfer-Encoding\t: chunked",
                                                    "X-A: 1\rX-B: 2"};
    return lines;
}

/// Field lines with obsolete line folding (RFC 9112, section 5.2). A reader that takes the
/// continuation for a field line finds a name that begins with a blank.
constexpr auto foldedLines = std::to_array<const char *>(
    {"X-A: 1\r\n 2", "X-A: 1\r\n\t2", "X-A: 1\r\n X-B: 2", "X-A:\r\n 2", "X-A:\r\n ", "X-A: 1\r\n ",
     "X-A: 1\r\n \r\n 2", "X-A: 1\r\n Content-Length: 2", "X-A: 1\r\n Transfer-Encoding: chunked"});

/// The native protocol with advice, late responses and responses without a length.
WireProtocolHandle testProtocol()
{
    WireProtocolHandle protocol = protocolWithUnframedResponses();
    protocol.readResponseHead = [](const ResponseHead &head, const AttemptIds &) {
        ResponseInfo info;
        info.isForThisRequest = head.count("X-Test-Late") == 0;
        readRetryAfter(head, info.advice);
        info.advice.isLeaving = head.count("X-Test-Leaving") > 0;
        return info;
    };
    return protocol;
}

class BrokenResponseTest : public testing::Test
{
protected:
    /// Serves a request with a target that sends the text and ends the connection. With isReused,
    /// another request was served on that connection before.
    void serve(const std::string &text, const WireProtocolHandle &protocol, bool isReused = false)
    {
        FakeTarget target([&](FakeTargetConnection &peer) {
            if (isReused) {
                peer.readRequest();
                peer.send(okResponse);
            }
            peer.readRequest();
            peer.send(text);
        });
        FakeCore core(forwardTo(target.endpoint(), true));
        TestNode node(core, {}, {}, protocol);
        FakeCaller caller = node.caller();
        if (isReused) {
            caller.send(requestText("POST", path, {}, "prompt"));
            caller.readUntil("whole");
            caller.take();
        }
        caller.send(
            requestText("POST", path, "Connection: close\r\nIdempotency-Key: k1\r\n", "prompt"));
        response = caller.readAll();
        const std::size_t before = isReused ? 1 : 0;
        EXPECT_TRUE(eventually([&] {
            return core.receivedEvents<AttemptDone>().size() > before
                || !core.receivedEvents<AttemptFailed>().empty();
        }));
        done = core.receivedEvents<AttemptDone>();
        done.erase(done.begin(), done.begin() + static_cast<std::ptrdiff_t>(before));
        failed = core.receivedEvents<AttemptFailed>();
        advice = core.receivedEvents<TargetAdviceArrived>();
    }

    void expectRejected(const std::string &text, bool isReused = false)
    {
        for (const WireProtocolHandle &protocol : {nativeProtocol(), testProtocol()}) {
            serve(text, protocol, isReused);
            expectFailure(text);
        }
    }

    void expectFailure(const std::string &text)
    {
        EXPECT_TRUE(response.starts_with("HTTP/1.1 502 ")) << text << '\n' << response;
        EXPECT_TRUE(done.empty()) << text;
        EXPECT_TRUE(advice.empty()) << text;
        ASSERT_EQ(failed.size(), 1U) << text;
        EXPECT_EQ(failed[0].failure, AttemptFailure::InvalidResponse) << text;
        EXPECT_TRUE(failed[0].sentAny) << text;
        EXPECT_FALSE(failed[0].hasHeldResponse) << text;
    }

    void expectRelayed(const std::string &text, const std::string &part)
    {
        for (const WireProtocolHandle &protocol : {nativeProtocol(), testProtocol()}) {
            serve(text, protocol);
            EXPECT_EQ(done.size(), 1U) << text;
            EXPECT_NE(response.find(part), std::string::npos) << text << '\n' << response;
        }
    }

    std::string response;
    std::vector<AttemptDone> done;
    std::vector<AttemptFailed> failed;
    std::vector<TargetAdviceArrived> advice;
};

std::string withStatus(const std::string &status, const std::string &fields = {})
{
    return "HTTP/1.1 " + status + " Odd\r\n" + fields + "Content-Length: 4\r\n\r\nclay";
}

std::string withLine(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "\r\nContent-Length: 4\r\n\r\nclay";
}

/// Returns the reply to a call whose server sends the text.
HttpReply replyTo(const std::string &text)
{
    std::optional<HttpReply> reply;
    FakeTarget server([&](FakeTargetConnection &peer) {
        peer.readRequest();
        peer.send(text);
    });
    asio::io_context context;
    const auto client = std::make_shared<HttpClient>(context, server.endpoint());
    client->get("/", testTimeout, [&](HttpReply received) { reply = std::move(received); });
    context.run();
    client->close();
    return reply.value_or(HttpReply {});
}

} // namespace

// Guards against a target in trouble whose status line has a number that is no status code.
TEST_F(BrokenResponseTest, StatusOutsideTheRangeIsNoResponse)
{
    for (const std::string status : invalidStatuses) {
        expectRejected(withStatus(status));
        expectRejected("HTTP/1.1 " + status + " Odd\r\n\r\nclay");
    }
}

// Guards against an invalid status that is taken for an interim one, or for the head of all that
// follows.
TEST_F(BrokenResponseTest, InvalidStatusBeforeAResponseIsNoInterimResponse)
{
    for (const std::string status : invalidStatuses)
        expectRejected("HTTP/1.1 " + status + " \r\n\r\n" + okResponse);
}

// Guards against a target that is held or taken out because of a head that is none.
TEST_F(BrokenResponseTest, InvalidHeadGivesNoAdvice)
{
    const std::string fields = "Retry-After: 60\r\nX-Test-Leaving: 1\r\n";
    for (const std::string status : invalidStatuses)
        expectRejected(withStatus(status, fields));
    expectRejected("HTTP/1.1 503 Service Unavailable\r\n" + fields
                   + "X-A: 1\r\n Content-Length: 4\r\n\r\nclay");
    for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip"}) {
        std::string text = "HTTP/1.1 503 Service Unavailable\r\n" + fields;
        text += "Transfer-Encoding: " + coding + "\r\n\r\n4\r\nclay\r\n0\r\n\r\n";
        expectRejected(text);
    }
    expectRejected("HTTP/1.1 101 Switching Protocols\r\n" + fields + "Upgrade: x\r\n\r\n");
}

// Guards against a broken response that is skipped as one to an earlier request: the next response
// on its connection needn't be the one to this request.
TEST_F(BrokenResponseTest, InvalidHeadIsNoLateResponse)
{
    const std::string late = "X-Test-Late: 1\r\n";
    expectRejected(withStatus("000", late) + okResponse, true);
    expectRejected("HTTP/1.1 200 OK\r\n" + late + "X-A: 1\r\n 2\r\nContent-Length: 0\r\n\r\n"
                       + okResponse,
                   true);
    expectRejected("HTTP/1.1 200 OK\r\n" + late
                       + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + okResponse,
                   true);
}

// Guards against field lines whose name no two readers agree on.
TEST_F(BrokenResponseTest, InvalidFieldLineIsNoResponse)
{
    for (const std::string &line : invalidLines()) {
        expectRejected(withLine(line));
        expectRejected("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + okResponse);
    }
}

// Guards against a line that one reader takes for a field and another for the rest of a value: its
// body has another length for each of them.
TEST_F(BrokenResponseTest, FoldedFieldLineIsNoResponse)
{
    for (const std::string line : foldedLines) {
        expectRejected(withLine(line));
        expectRejected("HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n4\r\nclay\r\n0\r\n\r\n");
        expectRejected("HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + okResponse);
    }
}

// Guards against a continuation that stands where no field precedes it.
TEST_F(BrokenResponseTest, FirstLineThatBeginsWithABlankIsNoResponse)
{
    expectRejected("HTTP/1.1 200 OK\r\n X-A: 1\r\nContent-Length: 4\r\n\r\nclay");
}

// Guards against a trailer that ends the body for one reader and not for another.
TEST_F(BrokenResponseTest, InvalidTrailerBreaksTheResponseOff)
{
    const std::string begin
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nclay\r\n0\r\n";
    std::vector<std::string> lines(invalidLines().begin(), invalidLines().end());
    lines.insert(lines.end(), foldedLines.begin(), foldedLines.end());
    for (const std::string &line : lines) {
        serve(begin + line + "\r\n\r\n", nativeProtocol());
        EXPECT_TRUE(done.empty()) << line;
        EXPECT_EQ(failed.size(), 1U) << line;
        EXPECT_FALSE(response.ends_with("0\r\n\r\n")) << line << '\n' << response;
    }
}

// Guards against a length that is relayed twice or as a list, which callers may reject or join.
TEST_F(BrokenResponseTest, RepeatedLengthIsRelayedOnce)
{
    for (const std::string lengths :
         {"Content-Length: 4\r\nContent-Length: 4", "Content-Length: 4, 4",
          "Content-Length: 4 ,\t4\r\nX-A: 1\r\ncontent-length: 4"}) {
        serve("HTTP/1.1 200 OK\r\n" + lengths + "\r\n\r\nclay", nativeProtocol());
        EXPECT_EQ(done.size(), 1U) << lengths;
        const std::size_t first = response.find("Content-Length: 4\r\n");
        EXPECT_NE(first, std::string::npos) << response;
        EXPECT_EQ(response.rfind("ontent-"), first + 1) << response;
        EXPECT_TRUE(response.ends_with("\r\n\r\nclay")) << response;
    }
}

// Guards against lengths and codings that give the body two ends.
TEST_F(BrokenResponseTest, ContradictoryFramingIsNoResponse)
{
    for (const std::string fields :
         {"Content-Length: 4\r\nContent-Length: 5", "Content-Length: 4, 5", "Content-Length: 4,",
          "Content-Length: +4", "Content-Length: 4 4", "Content-Length: -1", "Content-Length:",
          "Content-Length: 99999999999999999999", "Content-Length: 4\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: chunked\r\nContent-Length: 4",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip"})
        expectRejected("HTTP/1.1 200 OK\r\n" + fields + "\r\n\r\n4\r\nclay\r\n0\r\n\r\n");
}

// Guards against the rejection of responses that are unusual and valid.
TEST_F(BrokenResponseTest, UnusualValidResponseIsRelayed)
{
    for (const std::string status : {"200", "299", "404", "599"})
        expectRelayed(withStatus(status), "HTTP/1.1 " + status + " Odd\r\n");
    for (const std::string status : {"100", "102", "103", "199"})
        expectRelayed("HTTP/1.1 " + status + " \r\nX-A: 1\r\n\r\n" + okResponse, "whole");
    for (const std::string &value :
         {std::string("a\tb  c"), std::string("\x80\xc3\xa9\xff"), std::string("a: b, \"c\" (d)"),
          std::string(8000, 'x'), std::string()})
        expectRelayed(withLine("x!#$%&'*+-.^_`|~9: \t" + value + " \t"),
                      "x!#$%&'*+-.^_`|~9: " + value + "\r\n");
    expectRelayed(withLine("X-A:1"), "X-A: 1\r\n");
    expectRelayed(withLine("X-A:"), "X-A: \r\n");
}

// Guards against replies of peers, the platform or targets that are read although they are broken.
TEST(BrokenReplyTest, InvalidHeadFailsTheCall)
{
    for (const std::string status : invalidStatuses)
        EXPECT_EQ(replyTo(withStatus(status)).failure, AttemptFailure::InvalidResponse) << status;
    for (const std::string &line : invalidLines())
        EXPECT_EQ(replyTo(withLine(line)).failure, AttemptFailure::InvalidResponse) << line;
    for (const std::string line : foldedLines)
        EXPECT_EQ(replyTo(withLine(line)).failure, AttemptFailure::InvalidResponse) << line;
    EXPECT_EQ(replyTo(okResponse).body, "whole");
}

} // namespace berylridge::test
