// What this node tells the others and takes from them: loads, demands, broken runs, and whatever of
// the platform's state one of them lacks.
#pragma once

#include "BalancerContext.h"
#include "ReaderRole.h"
#include "Repeater.h"
#include "RequestFlow.h"
#include "TargetBoard.h"

#include <map>
#include <string>

namespace berylridge {

class FleetTalk
{
public:
    FleetTalk(BalancerContext &context, TargetBoard &board, RequestFlow &requests,
              ReaderRole &reader)
        : m_context(context)
        , m_board(board)
        , m_requests(requests)
        , m_reader(reader)
    {
    }

    /// Sends this period's digests. isReading: this node reads the platform's state with success.
    void sendDigests(bool isLeaving, bool isReading);

    void onDigest(const NodeId &from, Incarnation incarnation, const LoadDigest &digest);
    void onPlacements(const NodeId &from, Incarnation incarnation, const PlacementNews &news);
    void onStateRequest(const NodeId &from, const StateRequest &request);

private:
    LoadDigest ownDigest();
    std::vector<PlacementNews> placementNews();
    void collectNews();
    void takeLoads(const NodeId &from, const LoadDigest &digest);
    void askForNewer(const NodeId &from, const LoadDigest &digest);

    BalancerContext &m_context;
    TargetBoard &m_board;
    RequestFlow &m_requests;
    ReaderRole &m_reader;
    std::uint64_t m_digests = 0; ///< Sent so far.
    Repeater<PlacementEntry> m_placements;
    Repeater<TargetReadEntry> m_reads;
    Repeater<BrokenRunEntry> m_brokenRuns;
    std::map<NodeId, TimePoint> m_askedAt; ///< When state was last asked for.
};

} // namespace berylridge
