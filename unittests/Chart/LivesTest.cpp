// The charts that ship: they load, name the code's enums, and keep the promises that rest on them.
#include "berylridge/Chart/MemberLife.h"
#include "berylridge/Chart/NodeLife.h"
#include "berylridge/Chart/RequestLife.h"
#include "berylridge/Chart/TargetLife.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

const std::string charts = BERYLRIDGE_SOURCE_DIR "/charts";

} // namespace

TEST(Lives, EveryPairOfEveryChartIsListed)
{
    const auto check = [](const char *name, bool mayOmit) {
        const auto chart = Chart::load(charts + "/" + name);
        ASSERT_TRUE(chart) << chart.failureReason();
        for (std::size_t i = 0; i < chart->states().size(); ++i) {
            for (std::size_t j = 0; j < chart->signalNames().size(); ++j) {
                EXPECT_TRUE(mayOmit || chart->next(Chart::Index(i), Chart::Index(j)))
                    << name << ": " << chart->states()[i] << ", " << chart->signalNames()[j];
            }
        }
    };
    check("target-life.json", false);
    check("member-life.json", false);
    check("node-life.json", true);    // limitReached outside a stop is a fault of the caller
    check("request-life.json", true); // as is an answer before a dispatch
}

// A target that crashes under load is sent full load at once and falls over again, if any state
// forgets to turn it cold: its slots would stay at the warm count.
TEST(Lives, TargetIsColdAgainFromEveryStateThatTakesWork)
{
    const auto life = loadTargetLife(charts);
    ASSERT_TRUE(life) << life.failureReason();
    for (const auto state : {TargetState::Unknown, TargetState::Cold, TargetState::Warming,
                             TargetState::Warm, TargetState::Suspect}) {
        for (const auto sign :
             {TargetSign::NewBoot, TargetSign::RefusedConnection, TargetSign::Crash})
            EXPECT_EQ(life->next(state, sign), TargetState::Cold) << life->name(state);
    }
    EXPECT_EQ(life->next(TargetState::Leaving, TargetSign::NewBoot), TargetState::Leaving);
}

// A node behind a partition falls silent while the VM list lags. Were silence enough to make it
// gone, its leases would be given away while it still runs requests on them.
TEST(Lives, SilenceAloneNeverMakesAMemberGone)
{
    const auto life = loadMemberLife(charts);
    ASSERT_TRUE(life) << life.failureReason();
    EXPECT_EQ(life->next(MemberState::Live, MemberSign::Silence), MemberState::Suspect);
    EXPECT_EQ(life->next(MemberState::Suspect, MemberSign::Silence), MemberState::Suspect);
    EXPECT_EQ(life->next(MemberState::Live, MemberSign::Unlisted), MemberState::Live);
    EXPECT_EQ(life->next(MemberState::Suspect, MemberSign::ProbeRefused), MemberState::Gone);
}

TEST(Lives, EndsHaveNoWayOut)
{
    const auto request = loadRequestLife(charts);
    ASSERT_TRUE(request) << request.failureReason();
    EXPECT_EQ(request->next(RequestState::Refused, RequestSign::AnswerEnded),
              RequestState::Refused);
    const auto node = loadNodeLife(charts);
    ASSERT_TRUE(node) << node.failureReason();
    EXPECT_EQ(node->next(NodeState::Stopped, NodeSign::ReturnOrdered), NodeState::Stopped);
}
