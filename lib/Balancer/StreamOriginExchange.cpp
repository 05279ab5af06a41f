#include "StreamOriginExchange.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>

namespace berylridge {

void StreamOriginExchange::record(StreamKey stream, const std::string &service,
                                  const StreamOrigin &origin)
{
    m_origins.record(stream, origin, streamLifetime(), m_context.now);
    std::deque<UnreportedStream> &unreported = m_unreported[service];
    unreported.push_back({{stream, origin.service, origin.version, origin.attempt}, m_context.now});
    if (unreported.size() > StreamOrigins::maxStreams)
        unreported.pop_front();
}

std::optional<StreamOrigin> StreamOriginExchange::find(StreamKey stream,
                                                       const std::string &service) const
{
    if (const StreamOrigin *origin = m_origins.find(stream))
        return *origin;
    if (const auto version = onlyVersion(service))
        return StreamOrigin {hash32(service), *version, 0, OriginBasis::OnlyVersion};
    return std::nullopt;
}

std::optional<VersionKey> StreamOriginExchange::onlyVersion(const std::string &service) const
{
    if (!m_isDirectoryFresh)
        return std::nullopt;
    return m_context.directory.versions().onlyVersion(service, streamLifetime(), m_context.now);
}

Duration StreamOriginExchange::streamLifetime() const
{
    if (!m_context.routeTable)
        return maxStreamLifetime;
    // Callers may send several requests for a stream, each of them bounded by the route's timeout.
    constexpr int maxRequests = 2;
    return std::clamp(m_context.routeTable->longestStreamTimeout() * maxRequests, minStreamLifetime,
                      maxStreamLifetime);
}

void StreamOriginExchange::ask(Lookup lookup)
{
    const StreamOriginQuery query {lookup.stream, lookup.service};
    const PeerTable::Receivers receivers
        = m_context.peers.recordHoldersToAsk(lookup.stream, m_context.now);
    for (const auto &[node, endpoint] : receivers)
        m_context.emit(SendToNode {node, endpoint, BalancerMessage(query)});
    PendingLookup pending {std::move(lookup), {}, m_context.now};
    pending.result.request = pending.lookup.request;
    pending.result.asked = receivers.size();
    if (receivers.empty())
        end(pending);
    else
        m_pending.emplace(query.stream, std::move(pending));
}

void StreamOriginExchange::end(PendingLookup &pending)
{
    pending.hasEnded = true;
    m_results.push_back(pending.result);
}

void StreamOriginExchange::onUpdate(const StreamOriginUpdate &update)
{
    for (const StreamOriginEntry &entry : update.streams) {
        m_origins.record(entry.stream,
                         {entry.service, entry.version, entry.attempt, OriginBasis::Record},
                         streamLifetime(), m_context.now);
    }
}

void StreamOriginExchange::onQuery(const NodeId &from, const StreamOriginQuery &query)
{
    const PeerTable::Peer *peer = m_context.peers.find(from);
    if (!peer)
        return;
    StreamOriginAnswer answer;
    answer.origin.stream = query.stream;
    if (const auto origin = find(query.stream, query.service)) {
        answer.isKnown = true;
        answer.basis = static_cast<std::uint8_t>(origin->basis);
        answer.origin = {query.stream, origin->service, origin->version, origin->attempt};
    }
    m_context.emit(SendToNode {from, peer->endpoint, BalancerMessage(answer)});
}

void StreamOriginExchange::onAnswer(const NodeId &from, const StreamOriginAnswer &answer)
{
    const StreamOriginEntry &entry = answer.origin;
    const auto [first, last] = m_pending.equal_range(entry.stream);
    for (auto next = first; next != last; ++next) {
        PendingLookup &pending = next->second;
        ++pending.result.answers;
        if (pending.hasEnded) {
            logConflict(pending, from, answer);
            continue;
        }
        if (answer.isKnown) {
            pending.result.origin = StreamOrigin {entry.service, entry.version, entry.attempt,
                                                  static_cast<OriginBasis>(answer.basis)};
            pending.result.answeredBy = from;
        }
        if (answer.isKnown || pending.result.hasAllAnswers())
            end(pending);
    }
}

void StreamOriginExchange::logConflict(const PendingLookup &pending, const NodeId &from,
                                       const StreamOriginAnswer &answer)
{
    const std::optional<StreamOrigin> &origin = pending.result.origin;
    if (!origin || !answer.isKnown || origin->version == answer.origin.version)
        return;
    Json::Value fields;
    fields["stream"] = hexText(pending.lookup.stream);
    fields["nodes"].append(pending.result.answeredBy.str());
    fields["nodes"].append(from.str());
    fields["bases"].append(static_cast<unsigned>(origin->basis));
    fields["bases"].append(answer.basis);
    m_context.log(LogEventId::StreamOriginConflict, pending.lookup.service, std::move(fields));
}

void StreamOriginExchange::tick(bool isDirectoryFresh)
{
    m_isDirectoryFresh = isDirectoryFresh;
    m_origins.expire(m_context.now);
    reportStreams();
    const auto isOver = [&](const PendingLookup &pending) {
        return m_context.now - pending.startedAt >= lookupTimeout;
    };
    for (auto &[stream, pending] : m_pending) {
        if (!pending.hasEnded && isOver(pending))
            end(pending);
    }
    std::erase_if(m_pending, [&](const auto &entry) { return isOver(entry.second); });
}

/// Reports the streams that began here to the nodes that keep them. While a service has only one
/// version, or no other node is live, its streams wait.
void StreamOriginExchange::reportStreams()
{
    Updates updates;
    for (auto &[service, streams] : m_unreported) {
        while (!streams.empty() && m_context.now - streams.front().recordedAt > streamLifetime())
            streams.pop_front();
        if (!onlyVersion(service)) {
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
