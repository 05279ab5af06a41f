// Decides when an overloaded node leaves the rotation of the load balancer in front of the fleet,
// so that new connections go to other nodes of its availability zone.
//
// Guards against a load balancer that sends all connections of a large workspace to one small node:
// refusing most of the requests uses up its processor, and it serves less and less of them while
// other nodes of the zone are idle.
//
// A node announces that it is about to leave, and the nodes of the zone leave in turn, so that at
// most a quarter of them is out of rotation. If an announcement is lost, more may be out for a
// time. The load balancer takes a node out after two negative readiness checks, a second apart. So
// a node whose turn it is reports itself not ready as soon as it is overloaded, and is ready again
// before the second check if the overload was short.
#pragma once

#include "berylridge/Policy/Rate.h"
#include "berylridge/Support/Time.h"

#include <cstddef>
#include <cstdint>

namespace berylridge {

/// Whether the load balancer should send new connections to a node. Nodes report it as a number.
enum class RotationState : std::uint8_t {
    In,
    AboutToLeave, ///< Overloaded, and leaves the rotation if few other nodes have done so.
    Out,
};

/// This class is not thread-safe.
class OverloadReadiness
{
public:
    /// Time for which a node must be overloaded before it stays out of rotation for minTimeOut.
    /// Most bursts are shorter than that.
    static constexpr Duration overloadTime = std::chrono::milliseconds(1000);
    /// Time for which a node must be overloaded before it announces that it is about to leave.
    static constexpr Duration announcementDelay = std::chrono::milliseconds(200);
    /// Time out of rotation. It doubles each time the overload comes back with the connections.
    static constexpr Duration minTimeOut = std::chrono::seconds(4);
    static constexpr Duration maxTimeOut = std::chrono::seconds(16);

    /// Records requests that the traffic threads passed on, and requests that they shed.
    void onAccepted(double requests, TimePoint now) { m_accepted.add(requests, now); }
    void onShed(double requests, TimePoint now) { m_shed.add(requests, now); }

    /// The live nodes of this node's availability zone.
    struct Zone
    {
        std::size_t nodes = 1;   ///< Including this one.
        std::size_t out = 0;     ///< Other nodes that are out of rotation, for whatever reason.
        std::size_t ahead = 0;   ///< Other nodes that are about to leave it before this one.
        Duration digestTime {0}; ///< Time in which each node of the zone receives a digest.
    };
    /// Updates the state; called each period.
    RotationState update(const Zone &zone, TimePoint now);
    RotationState state() const { return m_state; }
    /// Returns whether the node should report itself ready to the load balancer.
    bool isReady() const
    {
        return m_state == RotationState::In
            || (m_state == RotationState::AboutToLeave && !m_isItsTurn);
    }

private:
    /// Includes several reports of a thread, and ends well before overloadTime after a short burst.
    static constexpr double smoothingSeconds = 0.2;

    bool isOverloaded(TimePoint now) const;
    /// Returns to the rotation if the time out has passed, or the zone has lost too many nodes.
    bool returnIfDue(const Zone &zone, TimePoint now);
    void leave(TimePoint now);

    Rate m_accepted {smoothingSeconds};
    Rate m_shed {smoothingSeconds};
    RotationState m_state = RotationState::In;
    TimePoint m_overloadedSince {}; ///< Valid while overloaded.
    bool m_wasOverloaded = false;
    bool m_isItsTurn = false;   ///< Few enough other nodes are out or leave first.
    TimePoint m_announcedAt {}; ///< Valid in the state AboutToLeave.
    TimePoint m_leftAt {};
    TimePoint m_returnedAt {};
    /// The last time out of rotation; 0 before the first and after one that ended early.
    Duration m_timeOut {0};
};

} // namespace berylridge
