// Tests that streams go on only at the software version that began them.
#include "BalancerFixture.h"

#include "berylridge/Catalog/RouteHistory.h"
#include "berylridge/Policy/StreamOrigins.h"
#include "berylridge/Support/Hash.h"

#include <set>

using namespace berylridge;
using namespace std::chrono_literals;

namespace {

/// Longer than any stream, so that a version that was listed before can't have begun one.
constexpr Duration longAgo = std::chrono::minutes(2);
/// By then a lookup of the version that began a stream has ended.
constexpr Duration lookupTime = std::chrono::milliseconds(600);

class StreamVersionTest : public test::BalancerFixture
{
protected:
    /// Installs targets of which only t1 and t2 have version v1.
    void installTwoVersions()
    {
        for (const char *id : {"t3", "t4", "t5", "t6", "t7", "t8"})
            softwareVersions[id] = "v2";
        installCatalog();
        installTargets({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"});
    }

    std::string versionOf(const Dispatch &dispatch) const
    {
        const auto found = softwareVersions.find(dispatch.target.str());
        return found == softwareVersions.end() ? "v1" : found->second;
    }

    /// Sends a request and returns its dispatch, if there is one.
    std::optional<Dispatch> send(const std::string &path,
                                 std::optional<StreamResumption> resumption = std::nullopt)
    {
        sendRequest(path, "key", std::move(resumption));
        return dispatchOfLastEvent();
    }

    std::optional<Dispatch> dispatchOfLastEvent() const
    {
        const auto *dispatch = findAction<Dispatch>();
        return dispatch ? std::optional(*dispatch) : std::nullopt;
    }

    /// Begins a stream at a target of the version. Streams that begin elsewhere end at once.
    Dispatch beginStream(const std::string &version)
    {
        std::vector<Dispatch> others;
        std::optional<Dispatch> begun;
        for (int i = 0; i < 100 && !begun; ++i) {
            const auto dispatch = send("/stream/" + std::to_string(lastHandle));
            if (!dispatch)
                break;
            if (versionOf(*dispatch) == version)
                begun = dispatch;
            else
                others.push_back(*dispatch);
        }
        for (const Dispatch &other : others)
            handle(CallerGone {other.handle});
        if (!begun) {
            ADD_FAILURE() << "no stream began at version " << version;
            return {};
        }
        relayFirstEvent(*begun);
        return *begun;
    }

    /// Returns a question of another node about a stream that nobody has recorded.
    static StreamOriginQuery streamQuery()
    {
        return {7, "s", true, routeKeyOf(route("/stream/", RequestKind::Stream, 2))};
    }

    static VersionKey versionKey(const std::string &version)
    {
        TargetRecord record;
        record.service = "s";
        record.softwareVersion = version;
        return versionKeyOf(record);
    }

    /// Delivers a node's answer; an empty version states that it knows none.
    void receiveAnswer(const std::string &node, const StreamOriginQuery &query, OriginBasis basis,
                       const std::string &version)
    {
        StreamOriginAnswer answer;
        answer.lookup = query.lookup;
        answer.isKnown = !version.empty();
        answer.basis = static_cast<std::uint8_t>(basis);
        answer.origin = {query.stream, hash32("s"), versionKey(version), 1, true};
        handle(NodeMessage {NodeId(node), 1, BalancerMessage(answer)});
    }

    void relayFirstEvent(const Dispatch &dispatch)
    {
        handle(AttemptHead {dispatch.handle, dispatch.attempt, 200, {}});
        handle(FirstEventRelayed {dispatch.handle, dispatch.attempt});
    }

    /// Begins more streams at the version than run at the other targets, so that these would be
    /// selected next.
    void occupyTargets(const std::string &version)
    {
        for (int i = 0; i < 4; ++i)
            beginStream(version);
    }

    /// Breaks the connection to the target. `hasEvents` states whether the caller has events.
    std::optional<Dispatch> breakStream(const Dispatch &dispatch, bool hasEvents = true)
    {
        AttemptFailed failed = makeFailure(dispatch, AttemptFailure::Reset);
        failed.answerBegun = hasEvents;
        handle(failed);
        return dispatchOfLastEvent();
    }

    static std::string requestIdOf(const Dispatch &dispatch)
    {
        return "r" + std::to_string(dispatch.handle);
    }

    /// Returns the refusal of the last request within the time of a lookup.
    std::optional<Refuse> refusalWithinLookupTime()
    {
        if (!findAction<Refuse>())
            advanceTime(lookupTime);
        const auto *refuse = findAction<Refuse>();
        return refuse ? std::optional(*refuse) : std::nullopt;
    }
};

} // namespace

// Guards against a stream that a node resumes within its response at another software version.
TEST_F(StreamVersionTest, ResponseContinuesOnlyAtTheVersionThatBeganIt)
{
    installTwoVersions();
    for (int i = 0; i < 20; ++i) {
        const Dispatch first = beginStream("v1");
        const auto second = breakStream(first);
        ASSERT_TRUE(second);
        EXPECT_EQ(versionOf(*second), "v1");
        EXPECT_NE(second->target, first.target);
        handle(AttemptHead {second->handle, second->attempt, 200, {}});
        handle(AttemptDone {second->handle, second->attempt, 200, {}, 10, {}, {}});
        advanceTime(3s);
    }
}

// Guards against a stream that goes on at another version because the target that began it was
// listed again with another version while it ran.
TEST_F(StreamVersionTest, ResponseIsBoundToTheVersionThatTheTargetHadWhenItBegan)
{
    installTwoVersions();
    const Dispatch first = beginStream("v1");
    occupyTargets("v1");
    softwareVersions[first.target.str()] = "v2";
    ++startedAtMs;
    installTargets({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"});
    const auto second = breakStream(first);
    EXPECT_FALSE(second && versionOf(*second) == "v2");
}

// Guards against a retry that is bound although the caller has no events yet.
TEST_F(StreamVersionTest, RetryBeforeTheFirstEventMayUseAnyVersion)
{
    installTwoVersions();
    const auto first = send("/stream/1");
    ASSERT_TRUE(first);
    handle(AttemptHead {first->handle, first->attempt, 200, {}});
    const bool isFirstVersion = versionOf(*first) == "v1";
    installTargets(isFirstVersion ? std::vector<std::string> {"t3", "t4", "t5"}
                                  : std::vector<std::string> {"t1", "t2"});
    EXPECT_TRUE(breakStream(*first, false));
}

// Guards against a stream that a caller takes up and that goes on at another version.
TEST_F(StreamVersionTest, TakenUpStreamGoesOnAtTheVersionThatBeganIt)
{
    installTwoVersions();
    for (const char *version : {"v1", "v2", "v1", "v2", "v1", "v2"}) {
        const Dispatch first = beginStream(version);
        occupyTargets(version);
        handle(CallerGone {first.handle});
        const auto second = send("/stream/again", StreamResumption {requestIdOf(first)});
        ASSERT_TRUE(second);
        EXPECT_EQ(versionOf(*second), version);
        relayFirstEvent(*second);
        handle(CallerGone {second->handle});
        // The third attempt of the caller names the first one too.
        const auto third = send("/stream/again", StreamResumption {requestIdOf(first)});
        ASSERT_TRUE(third);
        EXPECT_EQ(versionOf(*third), version);
        handle(CallerGone {third->handle});
        advanceTime(3s);
    }
}

// Guards against a guess: the node can't learn which version began the stream, and two serve.
TEST_F(StreamVersionTest, StreamOfUnknownVersionIsRefusedWhileTwoVersionsServe)
{
    installTwoVersions();
    advanceTime(longAgo);
    for (const char *firstRequestId : {"unknown", "", "r1"}) {
        EXPECT_FALSE(send("/stream/again", StreamResumption {firstRequestId}));
        const auto refuse = refusalWithinLookupTime();
        EXPECT_FALSE(findAction<Dispatch>());
        ASSERT_TRUE(refuse);
        EXPECT_EQ(refuse->status, 503U);
        EXPECT_EQ(refuse->verdict, Verdict::NotRun);
    }
}

// Guards against a guess of a node that has just started and knows only the versions that serve
// now: the version that began the stream may have ended since.
TEST_F(StreamVersionTest, StreamOfUnknownVersionIsRefusedByANodeThatHasJustStarted)
{
    installCatalog();
    installTargets({"t1", "t2"});
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    const auto refuse = refusalWithinLookupTime();
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(refuse);
    EXPECT_EQ(refuse->verdict, Verdict::NotRun);
}

// Guards against a guess of a node that doesn't learn of new versions, since it is cut off.
TEST_F(StreamVersionTest, StreamOfUnknownVersionIsRefusedWithoutAFreshDirectory)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    handle(PlatformReachability {false});
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    const auto refuse = refusalWithinLookupTime();
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(refuse);
}

// Guards against a refusal where only one version can have begun the stream.
TEST_F(StreamVersionTest, StreamOfUnknownVersionGoesOnWhereOnlyOneVersionServed)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    send("/stream/again", StreamResumption {"unknown"});
    if (!findAction<Dispatch>())
        advanceTime(lookupTime);
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a guess after an update: the version that began the stream serves no more, and
// the only one that is listed is another.
TEST_F(StreamVersionTest, VersionThatServedAMomentAgoIsNotForgotten)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    softwareVersions = {{"t3", "v2"}, {"t4", "v2"}};
    updateTargets({"t1", "t2", "t3", "t4"});
    advanceTime(1s);
    updateTargets({"t3", "t4"});
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_TRUE(refusalWithinLookupTime());
    EXPECT_FALSE(findAction<Dispatch>());
}

// Guards against a wait, or a promise, where no target can continue the stream any more.
TEST_F(StreamVersionTest, StreamOfAVersionThatIsGoneIsRefusedAtOnce)
{
    installTwoVersions();
    const Dispatch first = beginStream("v1");
    handle(CallerGone {first.handle});
    installTargets({"t3", "t4", "t5"});
    EXPECT_FALSE(send("/stream/again", StreamResumption {requestIdOf(first)}));
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->status, 503U);
    EXPECT_EQ(findAction<Refuse>()->verdict, Verdict::NotRun);
    EXPECT_FALSE(findAction<Refuse>()->retryAfter);
}

// Guards against messages for each stream where one version began all of them, and against streams
// that other nodes don't know once there are two: those that run already have to be reported.
TEST_F(StreamVersionTest, StreamsAreReportedOnceAServiceHasTwoVersions)
{
    installCatalog();
    installTargets({"t1", "t2"});
    for (Duration passed {0}; passed < longAgo; passed += 500ms) {
        advanceTime(500ms);
        receiveDigest("n2", "a", 1, revision, true);
    }
    const Dispatch running = beginStream("v1");
    advanceTime(500ms);
    EXPECT_TRUE(sentMessages<StreamOriginUpdate>().empty());
    softwareVersions["t2"] = "v2";
    updateTargets({"t1", "t2"});
    if (sentMessages<StreamOriginUpdate>().empty())
        advanceTime(200ms);
    const auto sent = sentMessages<StreamOriginUpdate>();
    ASSERT_FALSE(sent.empty());
    ASSERT_EQ(sent[0].second.streams.size(), 1U);
    EXPECT_EQ(sent[0].second.streams[0].stream, hash64(requestIdOf(running)));
}

// Guards against a stream that goes on only at the node that began it.
TEST_F(StreamVersionTest, NodeThatDoesNotKnowAStreamAsksOthers)
{
    installTwoVersions();
    receiveDigest("n2", "a", 1, revision, true);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    const auto queries = sentMessages<StreamOriginQuery>();
    ASSERT_EQ(queries.size(), 1U);
    receiveAnswer("n2", queries[0].second, OriginBasis::Record, "v1");
    const auto dispatch = dispatchOfLastEvent();
    ASSERT_TRUE(dispatch);
    EXPECT_EQ(versionOf(*dispatch), "v1");
}

// Guards against a request that waits for the answers of nodes that fail.
TEST_F(StreamVersionTest, LookupWithoutAnswerEndsWithATemporaryRefusal)
{
    installTwoVersions();
    receiveDigest("n2", "a", 1, revision, true);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    EXPECT_FALSE(findAction<Refuse>());
    const auto refuse = refusalWithinLookupTime();
    ASSERT_TRUE(refuse);
    EXPECT_EQ(refuse->verdict, Verdict::NotRun);
    EXPECT_TRUE(refuse->retryAfter);
}

// Guards against a lookup that outlives its caller.
TEST_F(StreamVersionTest, CallerMayLeaveDuringALookup)
{
    installTwoVersions();
    receiveDigest("n2", "a", 1, revision, true);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    handle(CallerGone {lastHandle});
    EXPECT_FALSE(refusalWithinLookupTime());
}

// Guards against a pause of the targets that can't serve the stream, and against one that isn't
// seen because others could serve other requests.
TEST_F(StreamVersionTest, PausesCountOnlyOverTargetsOfTheVersion)
{
    installTwoVersions();
    const Dispatch first = beginStream("v1");
    handle(CallerGone {first.handle});
    constexpr std::size_t streamCount = 8;
    std::vector<Dispatch> streams;
    streams.reserve(streamCount);
    while (streams.size() < streamCount)
        streams.push_back(beginStream("v1"));
    std::set<std::string> paused;
    for (const Dispatch &stream : streams) {
        receiveAdvice(stream, {.retryAfter = 3s});
        handle(CallerGone {stream.handle});
        paused.insert(stream.target.str());
    }
    ASSERT_EQ(paused.size(), 2U);
    EXPECT_FALSE(send("/stream/again", StreamResumption {requestIdOf(first)}));
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_GE(findAction<Refuse>()->retryAfter, Duration(2s));
}

// Guards against a record of a version whose attempt failed before its first event: a caller that
// takes the stream up has events of a later attempt.
TEST_F(StreamVersionTest, ResponseHeadWithoutAnEventIsNotRecorded)
{
    installTwoVersions();
    receiveDigest("n2", "a", 1, revision, true);
    const auto first = send("/stream/1");
    ASSERT_TRUE(first);
    handle(AttemptHead {first->handle, first->attempt, 200, {}});
    advanceTime(200ms);
    EXPECT_TRUE(sentMessages<StreamOriginUpdate>().empty());
}

// Guards against a stream that is joined from two versions because this node's only one is taken
// for the version that began it, although the platform lists another one that this node doesn't
// know yet.
TEST_F(StreamVersionTest, OnlyVersionOfAnOldViewIsNoOrigin)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    platformRevision = revision + 1;
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_FALSE(findAction<Refuse>());
    softwareVersions["t3"] = "v2";
    updateTargets({"t1", "t2", "t3"});
    EXPECT_FALSE(findAction<Dispatch>());
    EXPECT_TRUE(findAction<Refuse>());
}

// Guards against the same while the platform doesn't answer, and after it was read too early.
TEST_F(StreamVersionTest, OnlyVersionIsNoOriginWithoutALaterReadOfThePlatform)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    const auto answered = std::exchange(platformRevision, std::nullopt);
    EXPECT_FALSE(send("/stream/1", StreamResumption {"unknown"}));
    const auto *read = findAction<ReadPlatformRevision>();
    ASSERT_TRUE(read);
    const std::uint64_t ticket = read->ticket;
    EXPECT_FALSE(send("/stream/2", StreamResumption {"another"}));
    handle(PlatformRevisionRead {ticket, *answered});
    ASSERT_TRUE(findAction<Dispatch>());
    EXPECT_EQ(findAction<Dispatch>()->handle, lastHandle - 1);
    const auto refuse = refusalWithinLookupTime();
    ASSERT_TRUE(refuse);
    EXPECT_EQ(refuse->handle, lastHandle);
    EXPECT_TRUE(refuse->retryAfter);
}

// Guards against a peer's guess that is taken for knowledge.
TEST_F(StreamVersionTest, OnlyVersionOfAnOldViewIsNoAnswer)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    receiveDigest("n2", "a", 1, revision, true);
    platformRevision = revision + 1;
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(streamQuery())});
    EXPECT_TRUE(sentMessages<StreamOriginAnswer>().empty());
    softwareVersions["t3"] = "v2";
    updateTargets({"t1", "t2", "t3"});
    const auto answers = sentMessages<StreamOriginAnswer>();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_FALSE(answers[0].second.isKnown);
}

// Guards against refusals at nodes that don't read the platform, where one version served.
TEST_F(StreamVersionTest, PeerIsToldTheOnlyVersion)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    receiveDigest("n2", "a", 1, revision, true);
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(streamQuery())});
    const auto answers = sentMessages<StreamOriginAnswer>();
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_TRUE(answers[0].second.isKnown);
    EXPECT_EQ(answers[0].second.basis, static_cast<std::uint8_t>(OriginBasis::OnlyVersion));
}

// Guards against an answer of an earlier release, which may be a guess.
TEST_F(StreamVersionTest, AnswerWithoutABasisIsIgnored)
{
    installTwoVersions();
    receiveDigest("n2", "a", 1, revision, true);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    const auto queries = sentMessages<StreamOriginQuery>();
    ASSERT_EQ(queries.size(), 1U);
    receiveAnswer("n2", queries[0].second, OriginBasis::Unstated, "v1");
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->type, "stream-origin-unknown");
}

// Guards against a record of an earlier release, which may be of a response without an event.
TEST_F(StreamVersionTest, RecordOfAResponseHeadIsIgnored)
{
    installTwoVersions();
    StreamOriginUpdate update;
    update.streams = {{hash64("r100"), hash32("s"), versionKey("v1"), 1, false}};
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(update)});
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    EXPECT_TRUE(refusalWithinLookupTime());
}

// Guards against a record that comes after the platform showed only one version: a node behind a
// network partition began the stream at a target that is no longer listed.
TEST_F(StreamVersionTest, RecordGoesBeforeTheOnlyVersion)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    receiveDigest("n2", "a", 1, revision, true);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    const auto queries = sentMessages<StreamOriginQuery>();
    ASSERT_EQ(queries.size(), 1U);
    receiveAnswer("n2", queries[0].second, OriginBasis::Record, "v0");
    EXPECT_FALSE(findAction<Dispatch>());
    ASSERT_TRUE(findAction<Refuse>());
    EXPECT_EQ(findAction<Refuse>()->type, "stream-version-gone");
}

// Guards against a refusal because a node answers twice and another one's record isn't awaited.
TEST_F(StreamVersionTest, EachNodesAnswerIsAwaited)
{
    installTwoVersions();
    receiveDigest("n2", "a", 1, revision, true);
    receiveDigest("n3", "a", 1, revision, true);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"r100"}));
    const auto queries = sentMessages<StreamOriginQuery>();
    ASSERT_EQ(queries.size(), 2U);
    for (int i = 0; i < 2; ++i)
        receiveAnswer("n2", queries[0].second, OriginBasis::Record, "");
    EXPECT_FALSE(findAction<Refuse>());
    receiveAnswer("n3", queries[0].second, OriginBasis::Record, "v1");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a node that doesn't read the platform and refuses what readers could tell it.
TEST_F(StreamVersionTest, NodeThatDoesNotReadThePlatformAsksOneThatDoes)
{
    installCatalog();
    installTargets({"t1", "t2"});
    for (Duration passed {0}; passed < longAgo; passed += 500ms) {
        advanceTime(500ms);
        receiveDigest("m1", "a", 1, revision, true, true);
        receiveDigest("m2", "a", 1, revision, true);
    }
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_FALSE(findAction<ReadPlatformRevision>());
    const auto queries = sentMessages<StreamOriginQuery>();
    ASSERT_EQ(queries.size(), 2U);
    ASSERT_TRUE(queries[0].second.mayReadPlatform);
    receiveAnswer("m1", queries[0].second, OriginBasis::OnlyVersion, "v1");
    EXPECT_FALSE(findAction<Dispatch>());
    receiveAnswer("m2", queries[1].second, OriginBasis::Record, "");
    EXPECT_TRUE(findAction<Dispatch>());
}

// Guards against a stream that goes on, or is taken up, at the version that its target had before
// it started again under its id: its events may be of either.
TEST_F(StreamVersionTest, StreamOfATargetThatChangedItsVersionIsNotContinued)
{
    installTwoVersions();
    const Dispatch first = beginStream("v1");
    softwareVersions[first.target.str()] = "v2";
    ++startedAtMs;
    updateTargets({"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8"});
    EXPECT_FALSE(breakStream(first));
}

// Guards against a stream that is joined because peers report former targets of a version, which
// seems to have no target then.
TEST_F(StreamVersionTest, FormerTargetsThatAPeerReportsDoNotHideAVersion)
{
    installCatalog();
    DirectoryRelay relay;
    relay.directoryUpdate.revision = ++revision;
    relay.directoryUpdate.isFullSnapshot = true;
    for (const char *id : {"t1", "t2", "t3"}) {
        TargetRecord record;
        record.id = id;
        record.revision = revision;
        record.service = "s";
        record.zone = "a";
        record.address = "10.1.0.1";
        record.softwareVersion = record.id == "t1" ? "v1" : "v2";
        record.isRemoved = record.id == "t3";
        relay.directoryUpdate.targets.push_back(record);
    }
    handle(NodeMessage {NodeId("n2"), 1, BalancerMessage(relay)});
    DirectoryUpdate listing = relay.directoryUpdate;
    platformRevision = ++listing.revision;
    listing.targets.pop_back();
    handle(DirectoryArrived {listing});
    advanceTime(longAgo);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
}

// Guards against a stream that is joined because its caller sends its third or fourth request for
// it to a node that started after the version that began it had left.
TEST_F(StreamVersionTest, VersionIsRememberedForAllRequestsOfACaller)
{
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(15s);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_TRUE(refusalWithinLookupTime());
    EXPECT_FALSE(findAction<Dispatch>());
    advanceTime(6s);
    EXPECT_TRUE(send("/stream/again", StreamResumption {"unknown"}));
}

// Guards against the same for a stream that began under a catalog with longer timeouts.
TEST_F(StreamVersionTest, VersionIsRememberedForStreamsOfAnEarlierCatalog)
{
    installCatalog();
    installTargets({"t1", "t2"});
    streamTimeoutMs = 1000;
    installCatalog(2);
    advanceTime(15s);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_TRUE(refusalWithinLookupTime());
    EXPECT_FALSE(findAction<Dispatch>());
}

// Guards against a window that is too short where callers set their own limits.
TEST_F(StreamVersionTest, StreamsOfARouteWithoutATimeoutMayLastForLong)
{
    streamTimeoutMs = 0;
    installCatalog();
    installTargets({"t1", "t2"});
    advanceTime(longAgo);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_TRUE(refusalWithinLookupTime());
}

// Guards against a stream that goes on at another service, to which its route was moved since: the
// only version of that service began none of the route's streams.
TEST_F(StreamVersionTest, OnlyVersionOfAServiceThatTheRouteGotLatelyIsNoOrigin)
{
    installCatalog();
    installTargets({"t1", "other1"});
    advanceTime(longAgo);
    streamService = "s2";
    installCatalog(2);
    EXPECT_FALSE(send("/stream/again", StreamResumption {"unknown"}));
    EXPECT_TRUE(refusalWithinLookupTime());
    EXPECT_FALSE(findAction<Dispatch>());
    advanceTime(longAgo);
    EXPECT_TRUE(send("/stream/again", StreamResumption {"unknown"}));
}
