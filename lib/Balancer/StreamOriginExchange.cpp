#include "StreamOriginExchange.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>

namespace berylridge {

void StreamOriginExchange::record(StreamKey stream, const std::string &service,
                                  const StreamOrigin &origin)
{
    m_origins.record(stream, origin, streamLifetime(), m_context.now);
    std::deque<UnreportedStream> &unreported = m_unreported[service];
    unreported.push_back(
        {{stream, origin.service, origin.version, origin.attempt, true}, m_context.now});
    if (unreported.size() > StreamOrigins::maxStreams)
        unreported.pop_front();
}

std::optional<StreamOrigin> StreamOriginExchange::find(StreamKey stream) const
{
    const StreamOrigin *origin = m_origins.find(stream);
    return origin ? std::optional(*origin) : std::nullopt;
}

/// Returns the version that began the stream if it can't be any other.
std::optional<VersionKey> StreamOriginExchange::onlyVersion(const Lookup &lookup) const
{
    const Duration window = streamLifetime();
    if (!m_context.routeHistory.hadOnlyService(lookup.route, lookup.service, window, m_context.now))
        return std::nullopt;
    return m_context.directory.versions().onlyVersion(lookup.service, window, m_context.now);
}

/// Begins a check if it may find that only one version was listed.
std::optional<StreamOriginExchange::HistoryCheck> StreamOriginExchange::beginCheck(
    const Lookup &lookup)
{
    if (!m_readsPlatform || !onlyVersion(lookup))
        return std::nullopt;
    m_context.emit(ReadPlatformRevision {++m_lastTicket});
    return HistoryCheck {m_lastTicket};
}

/// Ends the check once all changes are known that the platform had when the lookup began.
void StreamOriginExchange::finishCheck(PendingLookup &pending)
{
    const bool isReady = pending.check && pending.check->revision
        && m_context.directory.versions().readRevision() >= *pending.check->revision;
    if (!isReady)
        return;
    pending.check.reset();
    const auto version = onlyVersion(pending.lookup);
    if (version && !pending.result.origin) {
        pending.result.origin
            = StreamOrigin {hash32(pending.lookup.service), *version, 0, OriginBasis::OnlyVersion};
    }
    endIfDecided(pending);
}

void StreamOriginExchange::onPlatformRevision(const PlatformRevisionRead &read)
{
    for (auto &[number, pending] : m_pending) {
        if (pending.check && !pending.check->revision && pending.check->ticket <= read.ticket)
            pending.check->revision = read.revision;
        finishCheck(pending);
    }
}

void StreamOriginExchange::onPlatformRead()
{
    for (auto &[number, pending] : m_pending)
        finishCheck(pending);
}

bool StreamOriginExchange::needsRecords(const std::string &service) const
{
    const auto version = m_context.directory.versions().onlyKnownVersion(service, m_context.now);
    return !m_isVersionHistoryKept || !version;
}

Duration StreamOriginExchange::streamLifetime() const
{
    if (!m_context.routeTable)
        return maxStreamLifetime;
    // A caller sends up to four requests for a stream, each bounded by the route's timeout, and
    // waits for up to a third of that before each of the last three.
    constexpr int maxTimeouts = 5;
    return std::clamp(m_context.longestStreamTimeout * maxTimeouts, minStreamLifetime,
                      maxStreamLifetime);
}

void StreamOriginExchange::ask(Lookup lookup)
{
    const std::uint64_t number = ++m_lastLookup;
    PendingLookup pending {std::move(lookup), m_context.now};
    const StreamKey stream = pending.lookup.stream;
    pending.result.request = pending.lookup.request;
    pending.check = beginCheck(pending.lookup);
    StreamOriginQuery query {stream, pending.lookup.service, true, pending.lookup.route, number};
    if (!pending.check) {
        for (const auto &[node, endpoint] :
             m_context.peers.versionHistoryKeepers(stream, m_context.now)) {
            m_context.emit(SendToNode {node, endpoint, BalancerMessage(query)});
            pending.keepers.push_back(node);
        }
    }
    pending.awaited = pending.keepers;
    query.mayReadPlatform = false;
    for (const auto &[node, endpoint] : m_context.peers.recordHoldersToAsk(stream, m_context.now)) {
        if (std::find(pending.keepers.begin(), pending.keepers.end(), node)
            != pending.keepers.end())
            continue;
        m_context.emit(SendToNode {node, endpoint, BalancerMessage(query)});
        pending.awaited.push_back(node);
    }
    pending.result.asked = pending.awaited.size();
    endIfDecided(m_pending.emplace(number, std::move(pending)).first->second);
}

/// Ends the lookup if a record is known or nobody is left who might know one.
void StreamOriginExchange::endIfDecided(PendingLookup &pending)
{
    if (!pending.hasEnded && (pending.hasRecord() || pending.isExhausted()))
        end(pending);
}

void StreamOriginExchange::end(PendingLookup &pending)
{
    pending.hasEnded = true;
    pending.result.isFinal = pending.isExhausted();
    if (pending.asker)
        answer(*pending.asker, pending.lookup.stream, pending.result.origin);
    else
        m_results.push_back(pending.result);
}

void StreamOriginExchange::endOverdueLookups()
{
    for (auto &[number, pending] : m_pending) {
        const bool mayWait = !pending.result.origin && pending.awaitsPlatform();
        const Duration limit = mayWait ? platformLookupTimeout : lookupTimeout;
        if (!pending.hasEnded && m_context.now - pending.startedAt >= limit)
            end(pending);
    }
    std::erase_if(m_pending, [&](const auto &entry) {
        return m_context.now - entry.second.startedAt >= platformLookupTimeout;
    });
}

void StreamOriginExchange::answer(const Asker &asker, StreamKey stream,
                                  const std::optional<StreamOrigin> &origin)
{
    const PeerTable::Peer *peer = m_context.peers.find(asker.node);
    if (!peer)
        return;
    StreamOriginAnswer answer;
    answer.lookup = asker.lookup;
    answer.origin.stream = stream;
    if (origin) {
        answer.isKnown = true;
        answer.basis = static_cast<std::uint8_t>(origin->basis);
        answer.origin = {stream, origin->service, origin->version, origin->attempt, true};
    }
    m_context.emit(SendToNode {asker.node, peer->endpoint, BalancerMessage(answer)});
}

void StreamOriginExchange::onUpdate(const StreamOriginUpdate &update)
{
    for (const StreamOriginEntry &entry : update.streams) {
        if (!entry.isOfFirstEvent)
            continue;
        m_origins.record(entry.stream,
                         {entry.service, entry.version, entry.attempt, OriginBasis::Record},
                         streamLifetime(), m_context.now);
    }
}

void StreamOriginExchange::onQuery(const NodeId &from, const StreamOriginQuery &query)
{
    const Asker asker {from, query.lookup};
    const auto origin = find(query.stream);
    PendingLookup pending {{0, query.stream, query.route, query.service}, m_context.now};
    pending.asker = asker;
    if (!origin && query.mayReadPlatform && m_pending.size() < maxLookups)
        pending.check = beginCheck(pending.lookup);
    if (pending.check)
        m_pending.emplace(++m_lastLookup, std::move(pending));
    else
        answer(asker, query.stream, origin);
}

void StreamOriginExchange::onAnswer(const NodeId &from, const StreamOriginAnswer &answer)
{
    const auto found = m_pending.find(answer.lookup);
    if (found == m_pending.end() || std::erase(found->second.awaited, from) == 0)
        return;
    PendingLookup &pending = found->second;
    std::erase(pending.keepers, from);
    ++pending.result.answers;
    const StreamOriginEntry &entry = answer.origin;
    const auto basis = static_cast<OriginBasis>(answer.basis);
    // Without a basis, it may be a guess of an earlier release.
    if (answer.isKnown && basis != OriginBasis::Unstated) {
        logConflict(pending, from, answer);
        if (!pending.hasRecord()) {
            pending.result.origin
                = StreamOrigin {entry.service, entry.version, entry.attempt, basis};
            pending.result.answeredBy = from;
        }
    }
    endIfDecided(pending);
}

void StreamOriginExchange::logConflict(const PendingLookup &pending, const NodeId &from,
                                       const StreamOriginAnswer &answer)
{
    const std::optional<StreamOrigin> &origin = pending.result.origin;
    if (!origin || origin->version == answer.origin.version)
        return;
    Json::Value fields;
    fields["stream"] = hexText(pending.lookup.stream);
    fields["nodes"].append(pending.result.answeredBy.str());
    fields["nodes"].append(from.str());
    fields["bases"].append(static_cast<unsigned>(origin->basis));
    fields["bases"].append(answer.basis);
    m_context.log(LogEventId::StreamOriginConflict, pending.lookup.service, std::move(fields));
}

void StreamOriginExchange::tick(bool readsPlatform)
{
    m_readsPlatform = readsPlatform;
    m_keepsVersionHistory
        = readsPlatform && m_context.directory.versions().covers(streamLifetime(), m_context.now);
    m_isVersionHistoryKept
        = m_keepsVersionHistory || !m_context.peers.versionHistoryKeepers(0, m_context.now).empty();
    m_origins.expire(m_context.now);
    reportStreams();
    endOverdueLookups();
}

/// Reports the streams that began here to the nodes that keep them. Streams that need no records
/// wait, and so do all while no other node is live.
void StreamOriginExchange::reportStreams()
{
    Updates updates;
    for (auto &[service, streams] : m_unreported) {
        while (!streams.empty() && m_context.now - streams.front().recordedAt > streamLifetime())
            streams.pop_front();
        if (needsRecords(service)) {
            std::erase_if(streams, [&](const UnreportedStream &stream) {
                return addToUpdates(stream.entry, updates);
            });
        }
    }
    for (auto &[endpoint, receiver] : updates)
        sendUpdate(endpoint, receiver);
}

/// Returns false if no node can keep the entry.
bool StreamOriginExchange::addToUpdates(const StreamOriginEntry &entry, Updates &updates)
{
    const PeerTable::Receivers holders = m_context.peers.recordHolders(entry.stream, m_context.now);
    for (const auto &[node, endpoint] : holders) {
        Receiver &receiver = updates[endpoint];
        receiver.node = node;
        receiver.update.streams.push_back(entry);
        if (receiver.update.streams.size() == maxEntriesPerMessage)
            sendUpdate(endpoint, receiver);
    }
    return !holders.empty();
}

void StreamOriginExchange::sendUpdate(const Endpoint &endpoint, Receiver &receiver)
{
    if (!receiver.update.streams.empty())
        m_context.emit(SendToNode {receiver.node, endpoint,
                                   BalancerMessage(std::exchange(receiver.update, {}))});
}

} // namespace berylridge
