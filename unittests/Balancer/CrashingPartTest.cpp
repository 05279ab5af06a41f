// Tests which parts of prompts a node quarantines when targets crash, and what clears them.
#include "BalancerFixture.h"

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

constexpr PromptPart commonPart {1, 1000};
constexpr PromptPart crashingPart {2, 300};
constexpr PromptPart otherPart {3, 300};

class CrashingPartTest : public test::BalancerFixture
{
protected:
    CrashingPartTest()
    {
        isEngine = true;
        installCatalog();
        installTargets(targets);
    }

    std::optional<Dispatch> dispatchOfLastEvent() const
    {
        const auto *dispatch = findAction<Dispatch>();
        return dispatch ? std::optional(*dispatch) : std::nullopt;
    }

    /// Sends a request that is unlike all others but for these parts of its prompt.
    std::optional<Dispatch> send(std::vector<PromptPart> parts)
    {
        sharedParts = std::move(parts);
        requestBodyHash = lastHandle + 1;
        sendRequest("/read/" + std::to_string(lastHandle));
        return dispatchOfLastEvent();
    }

    void begin(const Dispatch &dispatch)
    {
        handle(AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
    }

    void complete(const Dispatch &dispatch, bool endedWithConnection = false)
    {
        begin(dispatch);
        AttemptDone done {dispatch.handle, dispatch.attempt, 200, {}, 10, {}, {}};
        done.endedWithConnection = endedWithConnection;
        handle(done);
    }

    /// Ends the target soon after it has begun its answer. Returns the next attempt, if any.
    std::optional<Dispatch> crash(const Dispatch &dispatch)
    {
        begin(dispatch);
        advanceTime(100ms);
        handle(makeFailure(dispatch, AttemptFailure::TruncatedResponse));
        auto next = dispatchOfLastEvent();
        std::erase(targets, dispatch.target.str());
        installTargets(targets);
        return next;
    }

    /// Delivers another node's entries about the crashing part, one for each boot. Boots with
    /// consecutive numbers crashed 100 ms after each other.
    void receiveReports(const std::vector<std::uint64_t> &boots, bool isCleared = false)
    {
        InterruptedPartsUpdate update;
        for (const std::uint64_t boot : boots) {
            const auto ageMs = static_cast<std::uint32_t>(1000 - boot % 10 * 100);
            update.parts.push_back({crashingPart.id, boot, isCleared, ageMs});
        }
        handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(update)});
    }

    std::vector<std::string> targets {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"};

    /// Sends sound requests until one of them goes to the target.
    std::optional<Dispatch> sendTo(const TargetId &target)
    {
        for (int i = 0; i < 40; ++i) {
            auto dispatch = send({otherPart});
            if (dispatch && dispatch->target == target)
                return dispatch;
        }
        return std::nullopt;
    }

    /// Sends requests with the parts until they have ended that many targets or are refused.
    int crashTargets(const std::vector<PromptPart> &parts, int count)
    {
        int crashes = 0;
        while (crashes < count) {
            auto dispatch = send(parts);
            if (!dispatch)
                break;
            for (; dispatch && crashes < count; ++crashes)
                dispatch = crash(*dispatch);
            if (dispatch)
                handle(CallerGone {dispatch->handle});
        }
        return crashes;
    }
};

} // namespace

// Guards against one target after the other being ended by requests of which no two are alike.
TEST_F(CrashingPartTest, PartThatEndsTargetsIsRefused)
{
    EXPECT_LE(crashTargets({commonPart, crashingPart, otherPart}, 6), 3);
    ASSERT_FALSE(send({commonPart, crashingPart, otherPart}));
    EXPECT_EQ(findAction<Refuse>()->type, "crashing-part");
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
    // What else was in these prompts is tried without the part at once.
    const auto sound = send({commonPart, otherPart});
    ASSERT_TRUE(sound);
    complete(*sound);
    EXPECT_TRUE(send({commonPart, otherPart}));
    EXPECT_FALSE(send({crashingPart}));
    EXPECT_FALSE(send({commonPart, crashingPart}));
}

// Guards against a request's record being cleared by an answer that only looks complete: a target
// that ends between two writes ends an answer without a length, too.
TEST_F(CrashingPartTest, AnswerThatEndsWithItsTargetClearsNothing)
{
    requestBodyHash = 77;
    sharedParts = {commonPart};
    sendRequest("/read/1");
    const auto second = crash(*dispatchOfLastEvent());
    ASSERT_TRUE(second);
    const auto beside = sendTo(second->target);
    ASSERT_TRUE(beside);
    complete(*second, true);
    handle(makeFailure(*beside, AttemptFailure::Reset));
    advanceTime(1s);
    requestBodyHash = 77;
    sharedParts = {commonPart};
    sendRequest("/read/1");
    if (const auto third = dispatchOfLastEvent())
        crash(*third);
    requestBodyHash = 77;
    sendRequest("/read/1");
    EXPECT_FALSE(findAction<Dispatch>());
}

// Guards against a part that is quarantined because requests with it were interrupted beside the
// ones that end targets.
TEST_F(CrashingPartTest, CompleteAnswerClearsAPart)
{
    EXPECT_EQ(crashTargets({otherPart}, 2), 2);
    advanceTime(10ms);
    const auto sound = send({commonPart, otherPart});
    ASSERT_TRUE(sound);
    complete(*sound);
    EXPECT_EQ(crashTargets({otherPart}, 2), 2);
    EXPECT_TRUE(send({otherPart}));
}

// Guards against a part that ends as many targets at each node as one node allows.
TEST_F(CrashingPartTest, ReportsOfOtherNodesQuarantineAPart)
{
    receiveReports({101, 102});
    EXPECT_TRUE(send({crashingPart}));
    receiveReports({102, 103});
    EXPECT_FALSE(send({crashingPart}));
    receiveReports({101}, true);
    EXPECT_TRUE(send({crashingPart}));
}

// Guards against one fault of a network or an availability zone being taken for several crashes by
// each part that runs on all of its targets.
TEST_F(CrashingPartTest, TargetsThatEndAtOnceQuarantineNothing)
{
    InterruptedPartsUpdate update;
    for (std::uint64_t boot = 101; boot < 120; ++boot)
        update.parts.push_back({crashingPart.id, boot, false, static_cast<std::uint32_t>(boot)});
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(update)});
    EXPECT_TRUE(send({crashingPart}));
    receiveReports({201, 202});
    EXPECT_FALSE(send({crashingPart})) << "further crashes count";
}

// Guards against a target's crash being concluded from some connections that broke, while others go
// on delivering responses.
TEST_F(CrashingPartTest, ResponseOnAnotherConnectionRefutesACrash)
{
    for (int i = 0; i < 3; ++i) {
        const auto survivor = sendTo(TargetId(targets[static_cast<std::size_t>(i)]));
        ASSERT_TRUE(survivor);
        begin(*survivor);
        InterruptedPartsUpdate update;
        update.parts.push_back({crashingPart.id, survivor->targetBoot, false, 0});
        advanceTime(100ms);
        handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(update)});
        advanceTime(600ms);
        handle(AttemptDone {survivor->handle, survivor->attempt, 200, {}, 10, {}, {}});
    }
    EXPECT_TRUE(send({crashingPart}));
    EXPECT_TRUE(send({crashingPart})) << "the first one was no rerun";
}

// Guards against each node finding out by itself that a boot has not crashed, and against late
// reports of interruptions that were no crash.
TEST_F(CrashingPartTest, RefutationOfABootClearsAllItsReports)
{
    receiveReports({101, 102, 103});
    EXPECT_FALSE(send({crashingPart}));
    InterruptedPartsUpdate refutation;
    refutation.parts.push_back({0, 102, true, 100});
    handle(NodeMessage {NodeId("n3"), 1, BalancerMessage(refutation)});
    EXPECT_TRUE(send({crashingPart}));
    receiveReports({102});
    EXPECT_TRUE(send({crashingPart}));
    InterruptedPartsUpdate late;
    for (const std::uint64_t boot : {102, 104, 105})
        late.parts.push_back({otherPart.id, boot, false, static_cast<std::uint32_t>(100 * boot)});
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(late)});
    EXPECT_TRUE(send({otherPart}));
    EXPECT_TRUE(send({otherPart})) << "a late report of another part counts";
}

// Guards against a refutation that nodes send each other back and forth, each time for a later
// moment: real crashes of the boot would be refuted, too.
TEST_F(CrashingPartTest, RefutationIsNotEchoed)
{
    receiveDigest("n2", "a", 1, 1);
    InterruptedPartsUpdate refutation;
    refutation.parts.push_back({0, 102, true, 100});
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i) {
        handle(NodeMessage {NodeId("n3"), 1, BalancerMessage(refutation)});
        advanceTime(110ms);
        receiveDigest("n2", "a", 1, 1);
        sent += sentMessages<InterruptedPartsUpdate>().size();
    }
    EXPECT_EQ(sent, 0U);
    receiveReports({102, 103, 104});
    EXPECT_TRUE(send({crashingPart}));
}

// Guards against a crash that is not counted because connections to the same boot broke before.
TEST_F(CrashingPartTest, BootMayCrashAfterARefutation)
{
    receiveReports({102});
    InterruptedPartsUpdate refutation;
    refutation.parts.push_back({0, 102, true, 100});
    handle(NodeMessage {NodeId("n3"), 1, BalancerMessage(refutation)});
    advanceTime(3s);
    receiveReports({102, 103, 104});
    EXPECT_FALSE(send({crashingPart}));
}

// Guards against a message to all nodes for each request that a full fleet refuses as a rerun.
TEST_F(CrashingPartTest, RefusedRerunIsNotAnnounced)
{
    receiveDigest("n2", "a", 1, 1);
    receiveReports({101, 102, 103});
    installTargets({});
    advanceTime(1300ms);
    receiveDigest("n2", "a", 1, 1);
    EXPECT_FALSE(send({crashingPart}));
    EXPECT_EQ(findAction<Refuse>()->type, "no-target");
    EXPECT_TRUE(sentMessages<RerunNotice>().empty());
}

// Guards against callers who are refused for good while the fleet finds out whether a part is
// sound, and against several nodes that find it out at once.
TEST_F(CrashingPartTest, OneNodeSoonTriesAQuarantinedPart)
{
    receiveDigest("n2", "a", 1, 1);
    receiveReports({101, 102, 103});
    EXPECT_FALSE(send({crashingPart}));
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_TRUE(findAction<Refuse>()->retryAfter);
    handle(
        NodeMessage {NodeId("n2"), 1, BalancerMessage(RerunNotice {"a", crashingPart.id, false})});
    advanceTime(1200ms);
    EXPECT_FALSE(send({crashingPart})) << "another node tries it";
    receiveDigest("n2", "a", 1, 1);
    handle(
        NodeMessage {NodeId("n2"), 1, BalancerMessage(RerunNotice {"a", crashingPart.id, true})});
    const auto rerun = send({crashingPart});
    ASSERT_TRUE(rerun);
    EXPECT_FALSE(sentMessages<RerunNotice>().empty());
    EXPECT_FALSE(send({crashingPart}));
    complete(*rerun);
    EXPECT_TRUE(send({crashingPart}));
}

// Guards against parts in use being quarantined for answers that are cut while their targets go on.
TEST_F(CrashingPartTest, AnswersCutByTargetsThatGoOnQuarantineNothing)
{
    for (int i = 0; i < 20; ++i) {
        const auto cut = send({otherPart});
        ASSERT_TRUE(cut);
        begin(*cut);
        handle(makeFailure(*cut, AttemptFailure::TruncatedResponse));
        advanceTime(1ms);
        handle(CallerGone {cut->handle});
        const auto next = send({commonPart});
        ASSERT_TRUE(next);
        begin(*next);
        handle(CallerGone {next->handle});
        advanceTime(20ms);
    }
    EXPECT_TRUE(send({otherPart}));
}

// Guards against quarantining what has run for long when a target ends.
TEST_F(CrashingPartTest, PartThatRanForLongIsNotQuarantined)
{
    for (int i = 0; i < 4; ++i) {
        const auto running = send({otherPart});
        ASSERT_TRUE(running);
        begin(*running);
        advanceTime(700ms);
        handle(CallerGone {running->handle + 100});
        AttemptFailed failed = makeFailure(*running, AttemptFailure::Reset);
        handle(failed);
        if (const auto next = dispatchOfLastEvent())
            handle(CallerGone {next->handle});
        std::erase(targets, running->target.str());
        installTargets(targets);
    }
    EXPECT_TRUE(send({otherPart}));
}

// Guards against a request that ends one more target because it was already waiting there.
TEST_F(CrashingPartTest, WaitingRequestsWithAQuarantinedPartAreAborted)
{
    const auto waiting = send({crashingPart});
    ASSERT_TRUE(waiting);
    const auto sound = send({otherPart});
    ASSERT_TRUE(sound);
    receiveReports({101, 102, 103});
    ASSERT_TRUE(findAction<AbortAttempt>());
    EXPECT_EQ(findAction<AbortAttempt>()->handle, waiting->handle);
    EXPECT_EQ(findAction<Refuse>()->handle, waiting->handle);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::MayHaveRun);
    complete(*sound);
}

// Guards against the second attempt of the request that ended the last target before the verdict.
TEST_F(CrashingPartTest, InterruptedRequestWithAQuarantinedPartIsNotRetried)
{
    const auto first = send({crashingPart});
    ASSERT_TRUE(first);
    begin(*first);
    receiveReports({101, 102});
    EXPECT_FALSE(crash(*first));
}

// Guards against a node that has restarted, or was cut off, and doesn't know what the others have
// quarantined.
TEST_F(CrashingPartTest, QuarantinedPartsAreRepeatedToTheOtherNodes)
{
    receiveDigest("n2", "a", 1, 1);
    receiveReports({101, 102, 103});
    for (int i = 0; i < 5; ++i) {
        advanceTime(150ms);
        receiveDigest("n2", "a", 1, 1);
    }
    advanceTime(150ms);
    const auto updates = sentMessages<InterruptedPartsUpdate>();
    ASSERT_FALSE(updates.empty());
    EXPECT_EQ(updates.front().second.parts.size(), 3U);
    EXPECT_EQ(updates.front().second.parts.front().subject, crashingPart.id);
}

// Guards against a node that keeps quarantining a part because it missed the clearance.
TEST_F(CrashingPartTest, NodeThatRepeatsAnClearedReportIsToldSo)
{
    receiveDigest("n2", "a", 1, 1);
    receiveReports({101}, true);
    advanceTime(2s);
    receiveDigest("n2", "a", 1, 1);
    receiveReports({101});
    advanceTime(150ms);
    const auto updates = sentMessages<InterruptedPartsUpdate>();
    ASSERT_FALSE(updates.empty());
    EXPECT_TRUE(updates.front().second.parts.front().isCleared);
}

// Guards against a sound part that stays refused because its rerun met a target that had ended.
TEST_F(CrashingPartTest, RerunThatIsNotSentIsTriedAgain)
{
    crashTargets({commonPart, crashingPart}, 3);
    const auto first = send({commonPart});
    ASSERT_TRUE(first);
    EXPECT_FALSE(send({commonPart})) << "one rerun at a time";
    handle(makeFailure(*first, AttemptFailure::ConnectRefused, false));
    const auto second = dispatchOfLastEvent();
    ASSERT_TRUE(second);
    for (auto next = second; next; next = dispatchOfLastEvent())
        handle(makeFailure(*next, AttemptFailure::ConnectRefused, false));
    EXPECT_TRUE(findAction<Refuse>());
    advanceTime(3s); // The targets can be reached again.
    EXPECT_TRUE(send({commonPart}));
    EXPECT_FALSE(send({commonPart}));
}

// Guards against a rerun that says nothing because another part was quarantined meanwhile.
TEST_F(CrashingPartTest, RerunIsNotAbortedForAnotherPart)
{
    crashTargets({commonPart, otherPart}, 3);
    const auto rerun = send({commonPart});
    ASSERT_TRUE(rerun);
    receiveReports({101, 102, 103});
    EXPECT_FALSE(findAction<AbortAttempt>());
}

// Guards against a prompt of thousands of parts that fills the record and the messages.
TEST_F(CrashingPartTest, PartsRecordedForOneRequestAreBounded)
{
    receiveDigest("n2", "a", 1, 1);
    std::vector<PromptPart> parts;
    for (std::uint64_t id = 1000; id < 6000; ++id)
        parts.push_back({id, 1});
    const auto dispatch = send(parts);
    ASSERT_TRUE(dispatch);
    begin(*dispatch);
    handle(makeFailure(*dispatch, AttemptFailure::Reset));
    std::size_t reported = 0;
    for (int i = 0; i < 200; ++i) {
        advanceTime(100ms);
        receiveDigest("n2", "a", 1, 1);
        advanceTime(100ms);
        for (const auto &[endpoint, update] : sentMessages<InterruptedPartsUpdate>())
            reported += update.parts.size();
    }
    EXPECT_GT(reported, 0U);
    EXPECT_LE(reported, 500U);
}

// Guards against sessions that end because a target crashed while it ran one of their requests: the
// last part belongs to the request or its session.
TEST_F(CrashingPartTest, LastPartIsNotQuarantined)
{
    for (int i = 0; i < 4; ++i) {
        constexpr RequestHandle handleOfSession = 50; // The fixture derives the last part from it.
        lastHandle = handleOfSession;
        sharedParts = {};
        sendRequest("/read/" + std::to_string(i));
        const auto dispatch = dispatchOfLastEvent();
        ASSERT_TRUE(dispatch);
        EXPECT_TRUE(crash(*dispatch));
        handle(CallerGone {dispatch->handle});
    }
}
