// Tests the decisions of an overloaded thread on the first bytes of a request.
#include "EarlyShedding.h"

#include <gtest/gtest.h>
#include <string>

namespace berylridge::test {
namespace {

const std::string head = "POST /v1/services/shop/x HTTP/1.1\r\nHost: r\r\nX-Request-Id: r1\r\n"
                         "Authorization: Bearer key\r\n";
const std::string completeRequest = head + "Content-Length: 4\r\n\r\nclay";

class EarlySheddingTest : public ::testing::Test
{
protected:
    EarlyShedResult tryEarlyShed(const std::string &bytes)
    {
        return decideEarlyShed(bytes,
                               {nativeProtocol(),
                                [this](const CallerIdentity &caller) {
                                    EXPECT_EQ(caller.credential, "key");
                                    ++countedRequests;
                                    return sheds;
                                },
                                [](const CallerIdentity &) {
                                    return Problem {503, "busy", "busy", Verdict::NotRun, {}};
                                },
                                "unknown", true});
    }

    bool sheds = true;
    int countedRequests = 0;
};

TEST_F(EarlySheddingTest, completeRequestIsRejectedImmediately)
{
    const EarlyShedResult shedResult = tryEarlyShed(completeRequest);
    EXPECT_EQ(shedResult.decision, ShedDecision::Shed);
    ASSERT_TRUE(shedResult.immediateResponse);
    EXPECT_NE(shedResult.immediateResponse->find("503"), std::string::npos);
    EXPECT_NE(shedResult.immediateResponse->find("r1"), std::string::npos);
    EXPECT_TRUE(shedResult.isKeepAlive);
}

TEST_F(EarlySheddingTest, admittedRequestIsCountedOnce)
{
    sheds = false;
    const EarlyShedResult shedResult = tryEarlyShed(completeRequest);
    EXPECT_EQ(shedResult.decision, ShedDecision::Admitted);
    EXPECT_FALSE(shedResult.immediateResponse);
    EXPECT_EQ(countedRequests, 1);
}

// Guards against a reset that destroys the response because bytes of the body arrive after the
// connection is closed.
TEST_F(EarlySheddingTest, requestWithIncompleteBodyGetsNoImmediateResponse)
{
    const EarlyShedResult shedResult
        = tryEarlyShed(completeRequest.substr(0, completeRequest.size() - 1));
    EXPECT_EQ(shedResult.decision, ShedDecision::Shed);
    EXPECT_FALSE(shedResult.immediateResponse);
}

// Guards against losing the bytes of the next request together with the rejected one.
TEST_F(EarlySheddingTest, pipelinedRequestGetsNoImmediateResponse)
{
    EXPECT_FALSE(tryEarlyShed(completeRequest + completeRequest).immediateResponse);
}

// Guards against counting a request twice: during early shedding and when its head is complete.
TEST_F(EarlySheddingTest, incompleteHeadIsUndecided)
{
    EXPECT_EQ(tryEarlyShed(head).decision, ShedDecision::Undecided);
    EXPECT_EQ(countedRequests, 0);
}

// Guards against a body in an unsupported coding that is parsed as the next request.
TEST_F(EarlySheddingTest, bodyWithoutLengthIsUndecided)
{
    EXPECT_EQ(tryEarlyShed(head + "Transfer-Encoding: gzip\r\n\r\n").decision,
              ShedDecision::Undecided);
    EXPECT_EQ(tryEarlyShed(head + "Transfer-Encoding: chunked\r\n\r\n").decision,
              ShedDecision::Undecided);
    EXPECT_EQ(countedRequests, 0);
}

} // namespace
} // namespace berylridge::test
