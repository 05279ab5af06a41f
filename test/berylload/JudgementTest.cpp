// How berylload judges single answers: what it lets pass, every process test lets pass.
#include "Outcome.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

CallResult answer(unsigned status, const std::string &body, const std::string &verdict = "")
{
    CallResult result;
    result.end = CallEnd::Whole;
    result.status = status;
    result.body = body;
    if (!verdict.empty())
        result.headers["berylridge-verdict"] = verdict;
    return result;
}

} // namespace

TEST(Judgement, AnotherRequestsAnswerIsWrong)
{
    EXPECT_EQ(judge(answer(200, "mine"), "mine", false), Outcome::Served);
    EXPECT_EQ(judge(answer(200, "another's"), "mine", false), Outcome::Wrong);
    EXPECT_EQ(judge(answer(200, ""), "mine", false), Outcome::Wrong);
}

TEST(Judgement, CutAnswerIsIncompleteEvenIfAllOfItCame)
{
    auto cut = answer(200, "mine");
    cut.end = CallEnd::Cut;
    EXPECT_EQ(judge(cut, "mine", false), Outcome::Incomplete);
    cut.status = 0;
    EXPECT_EQ(judge(cut, "mine", false), Outcome::NoAnswer);
}

TEST(Judgement, RefusalWithoutAVerdictIsAFaultOfTheRouter)
{
    EXPECT_EQ(judge(answer(503, "", "not-run"), "mine", false), Outcome::NotRun);
    EXPECT_EQ(judge(answer(502, "", "may-have-run"), "mine", false), Outcome::MayHaveRun);
    EXPECT_EQ(judge(answer(500, "", "ran"), "mine", false), Outcome::TargetError);
    EXPECT_EQ(judge(answer(503, ""), "mine", false), Outcome::BadRefusal);
    EXPECT_EQ(judge(answer(503, ""), "mine", true), Outcome::TargetError);
}
