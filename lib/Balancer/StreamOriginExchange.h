// Finds out which software version began a stream that a caller takes up, wherever it began.
//
// Callers come back through any node, mostly because the one that they used is gone. So each node
// reports the streams that begin at it to a few nodes that rendezvous hashing selects by the
// stream's key, and a node that doesn't know a stream asks those. Nothing is reported while a
// service has only one version and some node could show that.
//
// Each answer is knowledge: a record, or the only version that was listed while the stream may have
// begun. The latter takes a read of the platform that starts after the question came, as a node may
// not have learned of a new version at which other nodes begin streams already. A record goes
// before it: nodes behind a network partition may use targets that are no longer listed.
#pragma once

#include "BalancerContext.h"

#include "berylridge/Policy/StreamOrigins.h"
#include "berylridge/Router/Events.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace berylridge {

class StreamOriginExchange
{
public:
    /// The stream that a request takes up.
    struct Lookup
    {
        RequestHandle request = 0;
        StreamKey stream = 0;
        RouteKey route = 0;
        std::string service; ///< Service to which the request goes if the stream isn't known.
    };
    /// The end of a lookup.
    struct Result
    {
        RequestHandle request = 0;
        std::optional<StreamOrigin> origin;
        NodeId answeredBy;       ///< Node that knew the origin.
        std::size_t asked = 0;   ///< Number of nodes that were asked.
        std::size_t answers = 0; ///< Number of answers that arrived.
        /// Nobody is left who might know the origin; otherwise a later request may find it.
        bool isFinal = false;
    };

    explicit StreamOriginExchange(BalancerContext &context)
        : m_context(context)
    {
    }

    /// Records a stream that began, or goes on, at this node.
    void record(StreamKey stream, const std::string &service, const StreamOrigin &origin);
    /// Returns the origin of the stream if this node has a record of it.
    std::optional<StreamOrigin> find(StreamKey stream) const;
    /// Asks other nodes and the platform. The result follows by takeResults().
    void ask(Lookup lookup);

    void onUpdate(const StreamOriginUpdate &update);
    void onQuery(const NodeId &from, const StreamOriginQuery &query);
    void onAnswer(const NodeId &from, const StreamOriginAnswer &answer);

    void onPlatformRevision(const PlatformRevisionRead &read);
    /// Continues the lookups that wait for changes of the platform. Called after each read by this
    /// node itself.
    void onPlatformRead();

    /// Returns whether this node can tell which versions were listed while a stream that is taken
    /// up may have begun.
    bool keepsVersionHistory() const { return m_keepsVersionHistory; }

    /// Returns the lookups that have ended since the last call.
    std::vector<Result> takeResults() { return std::exchange(m_results, {}); }
    /// Does the periodic work: reports streams, ends lookups without answer. `readsPlatform` states
    /// that this node reads the platform and that it responds.
    void tick(bool readsPlatform);

private:
    /// A few round trips between zones; callers wait for it.
    static constexpr Duration lookupTimeout = std::chrono::milliseconds(150);
    /// The same where a read of the platform is awaited, which may be slow.
    static constexpr Duration platformLookupTimeout = std::chrono::milliseconds(400);
    /// Bounds of the time for which a stream may be taken up.
    static constexpr Duration minStreamLifetime = std::chrono::seconds(10);
    static constexpr Duration maxStreamLifetime = VersionHistory::maxWindow;
    /// Maximum number of lookups at a time, beyond which other nodes' questions are not followed.
    static constexpr std::size_t maxLookups = 10'000;
    /// Entries of one message, so that it fits into a datagram.
    static constexpr std::size_t maxEntriesPerMessage = 40;

    /// A check whether only one version was listed.
    struct HistoryCheck
    {
        std::uint64_t ticket = 0; ///< Of the read of the platform's revision.
        /// Revision up to which all changes must be known; empty before that read.
        std::optional<std::uint64_t> revision {};
    };
    /// Another node's question, for the answer.
    struct Asker
    {
        NodeId node;
        std::uint64_t lookup = 0; ///< The node's own number of its lookup.
    };
    struct PendingLookup
    {
        Lookup lookup;
        TimePoint startedAt;
        Result result {};
        std::optional<Asker> asker {}; ///< Empty if this node looks it up for a request.
        std::optional<HistoryCheck> check {};
        std::vector<NodeId> awaited {}; ///< Nodes that have not answered yet.
        std::vector<NodeId> keepers {}; ///< Those of them that may read the platform.
        bool hasEnded = false; ///< The result was reported; later answers are only compared.

        bool isExhausted() const { return awaited.empty() && !check; }
        bool hasRecord() const
        {
            return result.origin && result.origin->basis == OriginBasis::Record;
        }
        /// Returns whether a read of the platform, by this node or one that was asked, may still
        /// tell the origin.
        bool awaitsPlatform() const { return check || !keepers.empty(); }
    };
    /// A stream that began here and was not reported to other nodes.
    struct UnreportedStream
    {
        StreamOriginEntry entry;
        TimePoint recordedAt;
    };
    /// Collects a node's entries for one message.
    struct Receiver
    {
        NodeId node;
        StreamOriginUpdate update;
    };
    using Updates = std::map<Endpoint, Receiver>;

    std::optional<VersionKey> onlyVersion(const Lookup &lookup) const;
    std::optional<HistoryCheck> beginCheck(const Lookup &lookup);
    void finishCheck(PendingLookup &pending);
    bool needsRecords(const std::string &service) const;
    /// Returns the time for which a stream may be taken up after it has begun.
    Duration streamLifetime() const;
    void endIfDecided(PendingLookup &pending);
    void end(PendingLookup &pending);
    void endOverdueLookups();
    void answer(const Asker &asker, StreamKey stream, const std::optional<StreamOrigin> &origin);
    void logConflict(const PendingLookup &pending, const NodeId &from,
                     const StreamOriginAnswer &answer);
    void reportStreams();
    bool addToUpdates(const StreamOriginEntry &entry, Updates &updates);
    void sendUpdate(const Endpoint &endpoint, Receiver &receiver);

    BalancerContext &m_context;
    StreamOrigins m_origins;
    std::map<std::string, std::deque<UnreportedStream>> m_unreported; ///< Keyed by service.
    std::map<std::uint64_t, PendingLookup> m_pending; ///< Keyed by this node's number.
    std::uint64_t m_lastLookup = 0;
    std::vector<Result> m_results;
    std::uint64_t m_lastTicket = 0;
    bool m_readsPlatform = false;
    bool m_keepsVersionHistory = false;
    bool m_isVersionHistoryKept = false; ///< By this node or another one that is live.
};

} // namespace berylridge
