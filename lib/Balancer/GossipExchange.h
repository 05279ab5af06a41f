// Exchanges state with the other nodes: loads, demands, interrupted requests, and the platform's
// state where a node is behind.
#pragma once

#include "BalancerContext.h"
#include "ReaderRole.h"
#include "RequestProcessor.h"
#include "StateRequestPacer.h"
#include "TargetSelector.h"
#include "TransmitLimitedQueue.h"
#include "ZoneSummaryFilter.h"

#include "berylridge/Support/LogRateLimiter.h"

#include "berylridge/Policy/OverloadReadiness.h"

#include <map>
#include <span>
#include <string>
#include <vector>

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
        , m_heartbeat(buildHeartbeat())
        , m_catalogRequests(Duration(0), stateRetryDelay, maxCatalogRetryDelay)
        , m_directoryRequests(minDirectoryInterval, stateRetryDelay, stateRetryDelay)
    {
    }

    /// What this node reports of itself.
    struct OwnStatus
    {
        bool isLeaving = false;
        /// This node reads the platform's state, and the platform responds.
        bool isReadingPlatform = false;
        RotationState rotation = RotationState::In;
        bool keepsVersionHistory = false; ///< See LoadDigest.
    };
    /// Sends this period's digests.
    void sendDigests(const OwnStatus &status);
    /// Tells the nodes of this zone at once which state this node has, without waiting for the next
    /// digests.
    void announceState();

    void onDigest(const NodeId &from, Incarnation incarnation, const LoadDigest &digest);
    void onPlacements(const NodeId &from, Incarnation incarnation, const PlacementUpdate &update);
    void onZoneLoads(const NodeId &from, const ZoneLoadSummary &summary);
    void onZoneFlows(const NodeId &from, const ZoneFlowSummary &summary);
    void onInterruptedParts(const NodeId &from, const InterruptedPartsUpdate &update);
    /// Sends the notices of requests and reruns that this node has just dispatched.
    void sendNotices();
    void onRerunNotice(const NodeId &from, const RerunNotice &notice);
    void onDispatchNotice(const NodeId &from, Incarnation incarnation,
                          const DispatchNotice &notice);
    void onStateRequest(const NodeId &from, const StateRequest &request);
    /// Records that a peer responded to a request for newer state.
    void onCatalogRelayed() { m_catalogRequests.onResponse(); }
    void onDirectoryRelayed(const DirectoryRelay &relay);
    /// Sends the state to the peers that asked before this node knew it.
    void answerWaitingPeers();

private:
    /// Time after which a request for state counts as lost.
    static constexpr Duration stateRetryDelay = std::chrono::milliseconds(400);
    /// An overloaded node takes seconds to receive a large catalog; each further copy delays it.
    static constexpr Duration maxCatalogRetryDelay = std::chrono::milliseconds(1600);
    /// Targets' entries change all the time; one response carries all changes of a digest period.
    static constexpr Duration minDirectoryInterval = std::chrono::milliseconds(100);

    /// A target that ends interrupts requests of many nodes.
    static constexpr double maxInterruptionLinesPerSecond = 10;

    LoadDigest buildHeartbeat() const;
    LoadDigest buildDigest();
    std::vector<PlacementUpdate> takePlacementMessages();
    void queueUpdates();
    void sendZoneSummaries(const LoadDigest &digest,
                           const InterruptedPartsUpdate &interruptedParts);
    std::vector<BalancerMessage> buildZoneSummaries() const;
    void appendZoneLoads(std::vector<BalancerMessage> &summaries) const;
    PlacementUpdate takeRemotePlacements();
    void sendToFleet(const BalancerMessage &message);
    void sendInOwnZone(const BalancerMessage &message);
    bool isInOwnZone(const NodeId &node) const;
    void mergeLoads(const NodeId &from, const LoadDigest &digest);
    void onPlatformStatus(const PlatformStatus &status);
    void mergeInterruptions(const NodeId &from, CrashDetector::Kind kind,
                            std::span<const InterruptionEntry> entries,
                            TransmitLimitedQueue<InterruptionEntry> &relayed);
    InterruptedPartsUpdate takeInterruptedParts();
    void logInterruptions(const NodeId &from, std::size_t entries, std::size_t newEntries);
    void relayInOwnZone(const PlacementUpdate &update);
    void requestNewerState(const NodeId &from, const LoadDigest &digest);
    void sendPeers(const NodeId &to, const PeerTable::Peer &peer);
    void requestInitialState(const LoadDigest &digest);
    bool knowsState() const;
    StateRequest ownState() const;

    BalancerContext &m_context;
    TargetSelector &m_targetSelector;
    RequestProcessor &m_requests;
    ReaderRole &m_reader;
    LoadDigest m_heartbeat;          ///< This period's digest without loads, flows and lists.
    LoadDigest m_lastDigest;         ///< The digest that was sent last.
    std::uint64_t m_digestsSent = 0; ///< Number of digests built so far.
    TransmitLimitedQueue<PlacementEntry> m_placements;
    TransmitLimitedQueue<TargetCacheWriteEntry> m_cacheWrites;
    TransmitLimitedQueue<TargetCacheWriteEntry> m_cacheWriteIncreases;
    TransmitLimitedQueue<InterruptionEntry> m_interruptedRequests;
    TransmitLimitedQueue<InterruptionEntry> m_interruptedParts;
    // Updates for one node of each other zone, which relays them in its zone.
    TransmitLimitedQueue<PlacementEntry> m_remotePlacements;
    TransmitLimitedQueue<TargetCacheWriteEntry> m_remoteCacheWrites;
    ZoneSummaryFilter m_zoneSummaries;
    StateRequestPacer m_catalogRequests;
    StateRequestPacer m_directoryRequests;
    LogRateLimiter m_interruptionLines {{.lines = maxInterruptionLinesPerSecond}};
    std::size_t m_nextSeed = 0; ///< Position in the options' seeds.
    std::map<NodeId, StateRequest> m_waitingPeers;
};

} // namespace berylridge
