// What a busy thread decides by the first bytes of a request.
#include "Screening.h"

#include <gtest/gtest.h>
#include <string>

namespace berylridge::test {
namespace {

const std::string head = "POST /v1/services/shop/x HTTP/1.1\r\nHost: r\r\nX-Request-Id: r1\r\n"
                         "Authorization: Bearer key\r\n";
const std::string whole = head + "Content-Length: 4\r\n\r\nclay";

class ScreeningTest : public ::testing::Test
{
protected:
    Screening screen(const std::string &bytes)
    {
        return screenRequest(bytes,
                             {ownProtocol(),
                              [this](std::string_view key) {
                                  EXPECT_EQ(key, "key");
                                  ++counted;
                                  return sheds;
                              },
                              [] {
                                  return Problem {503, "busy", "busy", Verdict::NotRun, {}};
                              },
                              "unknown", true});
    }

    bool sheds = true;
    int counted = 0;
};

TEST_F(ScreeningTest, wholeRequestIsRefusedAtOnce)
{
    const Screening screening = screen(whole);
    EXPECT_EQ(screening.decision, ShedDecision::Shed);
    ASSERT_TRUE(screening.answer);
    EXPECT_NE(screening.answer->find("503"), std::string::npos);
    EXPECT_NE(screening.answer->find("r1"), std::string::npos);
    EXPECT_TRUE(screening.isConnectionKept);
}

TEST_F(ScreeningTest, keptRequestIsCountedOnce)
{
    sheds = false;
    const Screening screening = screen(whole);
    EXPECT_EQ(screening.decision, ShedDecision::Kept);
    EXPECT_FALSE(screening.answer);
    EXPECT_EQ(counted, 1);
}

// Guards against a reset that destroys the answer, as bytes of the body come after the end.
TEST_F(ScreeningTest, requestWhoseBodyIsOnItsWayIsNotAnsweredAtOnce)
{
    const Screening screening = screen(whole.substr(0, whole.size() - 1));
    EXPECT_EQ(screening.decision, ShedDecision::Shed);
    EXPECT_FALSE(screening.answer);
}

// Guards against the next request's bytes being lost with the refused one's.
TEST_F(ScreeningTest, pipelinedRequestIsNotAnsweredAtOnce)
{
    EXPECT_FALSE(screen(whole + whole).answer);
}

// Guards against a request that is counted twice: here and when its head is whole.
TEST_F(ScreeningTest, halfAHeadIsNotDecided)
{
    EXPECT_EQ(screen(head).decision, ShedDecision::Open);
    EXPECT_EQ(counted, 0);
}

// Guards against a body in a coding that isn't read being taken for the next request.
TEST_F(ScreeningTest, bodyWithoutALengthIsNotDecided)
{
    EXPECT_EQ(screen(head + "Transfer-Encoding: gzip\r\n\r\n").decision, ShedDecision::Open);
    EXPECT_EQ(screen(head + "Transfer-Encoding: chunked\r\n\r\n").decision, ShedDecision::Open);
    EXPECT_EQ(counted, 0);
}

} // namespace
} // namespace berylridge::test
