#include "berylridge/Policy/OverloadReadiness.h"

#include <algorithm>

namespace berylridge {

namespace {

/// A node is overloaded if it sheds more than it accepts. With a smaller excess, more callers lose
/// by having to reconnect than gain.
constexpr double minShedPerAccepted = 1.0;
/// Fewer shed requests per second leave a node enough time for the others.
constexpr double minShedPerSecond = 50;
/// A node leaves only if at most one in this many nodes of its zone is then out of rotation.
constexpr std::size_t nodesPerLeavingNode = 4;
/// A node that is out returns if more than one in this many nodes is out, since the zone has lost
/// nodes: the load balancer ignores readiness where less than half of a zone is ready.
constexpr std::size_t nodesPerNodeKeptOut = 2;
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
    if (m_state == RotationState::Out && !returnIfDue(zone, now))
        return m_state;
    if (!isOverloaded(now)) {
        m_wasOverloaded = false;
        m_state = RotationState::In;
        return m_state;
    }
    if (!m_wasOverloaded)
        m_overloadedSince = now;
    m_wasOverloaded = true;
    const Duration overloadedFor = now - m_overloadedSince;
    if (m_state == RotationState::In && overloadedFor >= announcementDelay) {
        m_state = RotationState::AboutToLeave;
        m_announcedAt = now;
    }
    m_isItsTurn = (zone.out + zone.ahead + 1) * nodesPerLeavingNode <= zone.nodes;
    const bool isAnnounced
        = m_state == RotationState::AboutToLeave && now - m_announcedAt >= zone.digestTime;
    if (isAnnounced && overloadedFor >= overloadTime && m_isItsTurn)
        leave(now);
    return m_state;
}

bool OverloadReadiness::returnIfDue(const Zone &zone, TimePoint now)
{
    const bool isZoneTooSmall = (zone.out + 1) * nodesPerNodeKeptOut > zone.nodes;
    const bool isTimeOver = now >= m_leftAt + m_timeOut;
    if (!isTimeOver && !isZoneTooSmall)
        return false;
    if (!isTimeOver)
        m_timeOut = Duration(0);
    m_state = RotationState::In;
    m_returnedAt = now;
    m_wasOverloaded = false;
    return true;
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
