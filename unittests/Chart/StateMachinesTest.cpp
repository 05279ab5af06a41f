// The charts that ship: they load, name the code's enums, and keep the promises that rest on them.
#include "berylridge/Chart/MemberStateMachine.h"
#include "berylridge/Chart/NodeStateMachine.h"
#include "berylridge/Chart/RequestStateMachine.h"
#include "berylridge/Chart/TargetStateMachine.h"

#include <gtest/gtest.h>

using namespace berylridge;

namespace {

const std::string charts = BERYLRIDGE_SOURCE_DIR "/charts";

} // namespace

TEST(StateMachines, EveryPairOfEveryChartIsListed)
{
    const auto check = [](const char *name, bool mayOmit) {
        const auto chart = StateChart::load(charts + "/" + name);
        ASSERT_TRUE(chart) << chart.failureReason();
        for (std::size_t i = 0; i < chart->states().size(); ++i) {
            for (std::size_t j = 0; j < chart->signalNames().size(); ++j) {
                EXPECT_TRUE(mayOmit || chart->next(StateChart::Index(i), StateChart::Index(j)))
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
TEST(StateMachines, TargetTurnsColdFromEveryStateThatTakesWork)
{
    const auto life = loadTargetStateMachine(charts);
    ASSERT_TRUE(life) << life.failureReason();
    for (const auto state : {TargetState::Unknown, TargetState::Cold, TargetState::Warming,
                             TargetState::Warm, TargetState::Suspect}) {
        for (const auto signal :
             {TargetSignal::NewBoot, TargetSignal::RefusedConnection, TargetSignal::Crash})
            EXPECT_EQ(life->next(state, signal), TargetState::Cold) << life->name(state);
    }
    EXPECT_EQ(life->next(TargetState::Leaving, TargetSignal::NewBoot), TargetState::Leaving);
}

// A node behind a partition falls silent while the VM list lags. Were silence enough to make it
// gone, its leases would be given away while it still runs requests on them.
TEST(StateMachines, SilenceAloneNeverMakesAMemberGone)
{
    const auto life = loadMemberStateMachine(charts);
    ASSERT_TRUE(life) << life.failureReason();
    EXPECT_EQ(life->next(MemberState::Live, MemberSignal::Silence), MemberState::Suspect);
    EXPECT_EQ(life->next(MemberState::Suspect, MemberSignal::Silence), MemberState::Suspect);
    EXPECT_EQ(life->next(MemberState::Live, MemberSignal::Unlisted), MemberState::Live);
    EXPECT_EQ(life->next(MemberState::Suspect, MemberSignal::ProbeRefused), MemberState::Gone);
}

TEST(StateMachines, FinalStatesAreNeverLeft)
{
    const auto request = loadRequestStateMachine(charts);
    ASSERT_TRUE(request) << request.failureReason();
    EXPECT_EQ(request->next(RequestState::Refused, RequestSignal::AnswerEnded),
              RequestState::Refused);
    const auto node = loadNodeStateMachine(charts);
    ASSERT_TRUE(node) << node.failureReason();
    EXPECT_EQ(node->next(NodeState::Stopped, NodeSignal::ReturnOrdered), NodeState::Stopped);
}
