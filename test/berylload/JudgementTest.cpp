// Tests how berylload classifies responses. The process tests rely on it: a violation that it
// misses, they miss too.
#include "Outcome.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

CallResult makeResponse(unsigned status, const std::string &body, const std::string &verdict = "")
{
    CallResult result;
    result.end = CallEnd::Complete;
    result.status = status;
    result.body = body;
    if (!verdict.empty())
        result.headers["berylridge-verdict"] = verdict;
    return result;
}

} // namespace

TEST(ResponseClassification, BodyOfAnotherRequestIsWrong)
{
    EXPECT_EQ(classifyResponse(makeResponse(200, "mine"), "mine", false), Outcome::Served);
    EXPECT_EQ(classifyResponse(makeResponse(200, "another's"), "mine", false), Outcome::WrongBody);
    EXPECT_EQ(classifyResponse(makeResponse(200, ""), "mine", false), Outcome::WrongBody);
}

TEST(ResponseClassification, TruncatedResponseIsIncompleteEvenWithTheFullBody)
{
    auto truncated = makeResponse(200, "mine");
    truncated.end = CallEnd::Truncated;
    EXPECT_EQ(classifyResponse(truncated, "mine", false), Outcome::Incomplete);
    truncated.status = 0;
    EXPECT_EQ(classifyResponse(truncated, "mine", false), Outcome::NoResponse);
}

TEST(ResponseClassification, ErrorWithoutAVerdictIsARouterFault)
{
    EXPECT_EQ(classifyResponse(makeResponse(503, "", "not-run"), "mine", false), Outcome::NotRun);
    EXPECT_EQ(classifyResponse(makeResponse(502, "", "may-have-run"), "mine", false),
              Outcome::MayHaveRun);
    EXPECT_EQ(classifyResponse(makeResponse(500, "", "ran"), "mine", false), Outcome::TargetError);
    EXPECT_EQ(classifyResponse(makeResponse(503, ""), "mine", false), Outcome::MissingVerdict);
    EXPECT_EQ(classifyResponse(makeResponse(503, ""), "mine", true), Outcome::TargetError);
}
