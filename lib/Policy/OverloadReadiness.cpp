#include "berylridge/Policy/OverloadReadiness.h"

#include <algorithm>

namespace berylridge {

namespace {

/// A node is overloaded if it sheds more than it accepts. With a smaller excess, more callers lose
/// by having to reconnect than gain.
constexpr double minShedPerAccepted = 1.0;
/// Fewer shed requests per second leave a node enough time for the others.
constexpr double minShedPerSecond = 50;
/// At most one in this many nodes of a zone may be out of rotation, and at most one in the second
/// number if the zone has lost nodes meanwhile.
constexpr std::size_t nodesPerNodeOut = 4;
constexpr std::size_t maxNodesPerNodeOut = 2;
/// An overload that begins within this time of the return is the same as the one before.
constexpr Duration recurrenceTime = std::chrono::seconds(6);

} // namespace

bool OverloadReadiness::isOverloaded(TimePoint now) const
{
    const double shed = m_shed.at(now);
    return shed >= minShedPerSecond && shed > minShedPerAccepted * m_accepted.at(now);
}

RotationState OverloadReadiness::update(const Zone &zone, TimePoint now)
{
    if (m_state == RotationState::Out) {
        const bool isZoneTooSmall = (zone.ahead + 1) * maxNodesPerNodeOut > zone.nodes;
        if (now < m_leftAt + m_timeOut && !isZoneTooSmall)
            return m_state;
        m_state = RotationState::In;
        m_returnedAt = now;
        m_wasOverloaded = false;
    }
    if (!isOverloaded(now)) {
        m_wasOverloaded = false;
        m_state = RotationState::In;
        return m_state;
    }
    if (!m_wasOverloaded)
        m_overloadedSince = now;
    m_wasOverloaded = true;
    const Duration overloadedFor = now - m_overloadedSince;
    const bool mayLeave = (zone.ahead + 1) * nodesPerNodeOut <= zone.nodes;
    if (overloadedFor >= overloadTime && mayLeave && m_state == RotationState::AboutToLeave)
        leave(now);
    else if (overloadedFor >= overloadTime - announcementTime)
        m_state = RotationState::AboutToLeave;
    return m_state;
}

void OverloadReadiness::leave(TimePoint now)
{
    const bool isRecurring
        = m_timeOut > Duration(0) && m_overloadedSince < m_returnedAt + recurrenceTime;
    m_timeOut = isRecurring ? std::min(2 * m_timeOut, maxTimeOut) : minTimeOut;
    m_leftAt = now;
    m_state = RotationState::Out;
}

} // namespace berylridge
