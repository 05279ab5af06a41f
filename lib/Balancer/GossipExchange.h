// Exchanges state with the other nodes: loads, demands, interrupted requests, and the platform's
// state where a node is behind.
#pragma once

#include "BalancerContext.h"
#include "ReaderRole.h"
#include "RequestProcessor.h"
#include "TargetSelector.h"
#include "TransmitLimitedQueue.h"

#include <map>
#include <string>

namespace berylridge {

class GossipExchange
{
public:
    GossipExchange(BalancerContext &context, TargetSelector &targetSelector,
                   RequestProcessor &requests, ReaderRole &reader)
        : m_context(context)
        , m_targetSelector(targetSelector)
        , m_requests(requests)
        , m_reader(reader)
    {
    }

    /// Sends this period's digests. `isReadingPlatform` states that this node reads the platform's
    /// state and that the platform responds.
    void sendDigests(bool isLeaving, bool isReadingPlatform);

    void onDigest(const NodeId &from, Incarnation incarnation, const LoadDigest &digest);
    void onPlacements(const NodeId &from, Incarnation incarnation, const PlacementUpdate &update);
    void onStateRequest(const NodeId &from, const StateRequest &request);

private:
    LoadDigest buildDigest();
    std::vector<PlacementUpdate> takePlacementMessages();
    void queueUpdates();
    void mergeLoads(const NodeId &from, const LoadDigest &digest);
    void requestNewerState(const NodeId &from, const LoadDigest &digest);

    BalancerContext &m_context;
    TargetSelector &m_targetSelector;
    RequestProcessor &m_requests;
    ReaderRole &m_reader;
    std::uint64_t m_digestsSent = 0; ///< Number of digests built so far.
    TransmitLimitedQueue<PlacementEntry> m_placements;
    TransmitLimitedQueue<TargetCacheWriteEntry> m_cacheWrites;
    TransmitLimitedQueue<InterruptedRequestEntry> m_interruptedRequests;
    /// Time of the last StateRequest to each node.
    std::map<NodeId, TimePoint> m_stateRequestedAt;
};

} // namespace berylridge
