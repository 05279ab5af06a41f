// Tests the decisions of an overloaded thread on the first bytes of a request.
#include "Screening.h"

#include <gtest/gtest.h>
#include <string>

namespace berylridge::test {
namespace {

const std::string head = "POST /v1/services/shop/x HTTP/1.1\r\nHost: r\r\nX-Request-Id: r1\r\n"
                         "Authorization: Bearer key\r\n";
const std::string completeRequest = head + "Content-Length: 4\r\n\r\nclay";

class ScreeningTest : public ::testing::Test
{
protected:
    Screening screen(const std::string &bytes)
    {
        return screenRequest(bytes,
                             {nativeProtocol(),
                              [this](std::string_view key) {
                                  EXPECT_EQ(key, "key");
                                  ++countedRequests;
                                  return sheds;
                              },
                              [] {
                                  return Problem {503, "busy", "busy", Verdict::NotRun, {}};
                              },
                              "unknown", true});
    }

    bool sheds = true;
    int countedRequests = 0;
};

TEST_F(ScreeningTest, completeRequestIsRejectedImmediately)
{
    const Screening screening = screen(completeRequest);
    EXPECT_EQ(screening.decision, ShedDecision::Shed);
    ASSERT_TRUE(screening.immediateResponse);
    EXPECT_NE(screening.immediateResponse->find("503"), std::string::npos);
    EXPECT_NE(screening.immediateResponse->find("r1"), std::string::npos);
    EXPECT_TRUE(screening.isKeepAlive);
}

TEST_F(ScreeningTest, admittedRequestIsCountedOnce)
{
    sheds = false;
    const Screening screening = screen(completeRequest);
    EXPECT_EQ(screening.decision, ShedDecision::Admitted);
    EXPECT_FALSE(screening.immediateResponse);
    EXPECT_EQ(countedRequests, 1);
}

// Guards against a reset that destroys the response because bytes of the body arrive after the
// connection is closed.
TEST_F(ScreeningTest, requestWithIncompleteBodyGetsNoImmediateResponse)
{
    const Screening screening = screen(completeRequest.substr(0, completeRequest.size() - 1));
    EXPECT_EQ(screening.decision, ShedDecision::Shed);
    EXPECT_FALSE(screening.immediateResponse);
}

// Guards against losing the bytes of the next request together with the rejected one.
TEST_F(ScreeningTest, pipelinedRequestGetsNoImmediateResponse)
{
    EXPECT_FALSE(screen(completeRequest + completeRequest).immediateResponse);
}

// Guards against counting a request twice: during screening and when its head is complete.
TEST_F(ScreeningTest, incompleteHeadIsUndecided)
{
    EXPECT_EQ(screen(head).decision, ShedDecision::Undecided);
    EXPECT_EQ(countedRequests, 0);
}

// Guards against a body in an unsupported coding that is parsed as the next request.
TEST_F(ScreeningTest, bodyWithoutLengthIsUndecided)
{
    EXPECT_EQ(screen(head + "Transfer-Encoding: gzip\r\n\r\n").decision, ShedDecision::Undecided);
    EXPECT_EQ(screen(head + "Transfer-Encoding: chunked\r\n\r\n").decision,
              ShedDecision::Undecided);
    EXPECT_EQ(countedRequests, 0);
}

} // namespace
} // namespace berylridge::test
