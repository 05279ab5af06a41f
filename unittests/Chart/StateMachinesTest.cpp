// Tests the shipped charts: they load, match the enums in the code, and guarantee the transitions
// that the code relies on.
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
    check("node-life.json", true);    // limitReached outside a planned stop is a caller error
    check("request-life.json", true); // a response before a dispatch is a caller error too
}

// Guards against a state in which a crash doesn't make the target cold: its slots would stay at the
// warm count, and a target that crashed under load would receive full load immediately and crash
// again.
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

// A partitioned node sends no heartbeats while the VM list is outdated. If silence alone made it
// Gone, its leases would be granted to others while it still runs requests on them.
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
