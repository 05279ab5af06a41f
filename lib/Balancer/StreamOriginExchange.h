// Finds out which software version began a stream that a caller takes up, wherever it began.
//
// Callers come back through any node, mostly because the one that they used is gone. So each node
// reports the streams that begin at it to a few nodes that rendezvous hashing selects by the
// stream's key, and a node that doesn't know a stream asks those. While a service has had only one
// version for longer than a stream lasts, nothing is reported or asked.
#pragma once

#include "BalancerContext.h"

#include "berylridge/Policy/StreamOrigins.h"
#include "berylridge/Router/Events.h"

#include <cstddef>
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

        bool hasAllAnswers() const { return answers >= asked; }
    };

    explicit StreamOriginExchange(BalancerContext &context)
        : m_context(context)
    {
    }

    /// Records a stream that began, or goes on, at this node.
    void record(StreamKey stream, const std::string &service, const StreamOrigin &origin);
    /// Returns what this node itself knows.
    std::optional<StreamOrigin> find(StreamKey stream, const std::string &service) const;
    /// Asks other nodes. The result follows by takeResults().
    void ask(Lookup lookup);

    void onUpdate(const StreamOriginUpdate &update);
    void onQuery(const NodeId &from, const StreamOriginQuery &query);
    void onAnswer(const NodeId &from, const StreamOriginAnswer &answer);

    /// Returns the lookups that have ended since the last call.
    std::vector<Result> takeResults() { return std::exchange(m_results, {}); }
    /// Does the periodic work: reports streams, ends lookups without answer. `isDirectoryFresh`
    /// states that the platform's changes reach this node.
    void tick(bool isDirectoryFresh);

private:
    /// A few round trips between zones; callers wait for it.
    static constexpr Duration lookupTimeout = std::chrono::milliseconds(150);
    /// Bounds of the time for which a stream may be taken up.
    static constexpr Duration minStreamLifetime = std::chrono::seconds(10);
    static constexpr Duration maxStreamLifetime = VersionHistory::maxWindow;
    /// Entries of one message, so that it fits into a datagram.
    static constexpr std::size_t maxEntriesPerMessage = 40;

    struct PendingLookup
    {
        Lookup lookup;
        Result result;
        TimePoint startedAt;
        bool hasEnded = false; ///< The result was reported; later answers are only compared.
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

    std::optional<VersionKey> onlyVersion(const std::string &service) const;
    /// Returns the time for which a stream may be taken up after it has begun.
    Duration streamLifetime() const;
    void end(PendingLookup &pending);
    void logConflict(const PendingLookup &pending, const NodeId &from,
                     const StreamOriginAnswer &answer);
    void reportStreams();
    bool addToUpdates(const StreamOriginEntry &entry, Updates &updates);
    void sendUpdate(const Endpoint &endpoint, Receiver &receiver);

    BalancerContext &m_context;
    StreamOrigins m_origins;
    std::map<std::string, std::deque<UnreportedStream>> m_unreported; ///< Keyed by service.
    std::multimap<StreamKey, PendingLookup> m_pending;
    std::vector<Result> m_results;
    bool m_isDirectoryFresh = false;
};

} // namespace berylridge
