// A roster is the set of witnesses for the keys created after its start. A roster chain contains
// the rosters that a node knows, ordered by start.
#pragma once

#include "berylridge/Idempotency/Messages.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace berylridge {

/// A hash of the roster's content; 0 means no roster.
using RosterId = std::uint64_t;

/// One process of a node, from its start to its end. After a restart the node counts as another
/// member because it has lost the votes that it gave.
struct NodeIncarnation
{
    NodeId node;
    Incarnation incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the operator for a null pointer
    auto operator<=>(const NodeIncarnation &) const = default;
    bool operator==(const NodeIncarnation &) const = default;
};

/// The witnesses of the keys with startsAt < creation time <= startsAt of the next roster.
struct Roster
{
    RosterId id = 0;
    NodeIncarnation proposer;
    std::uint64_t sequence = 0;
    WallTime startsAt;
    bool isActive = false;
    std::vector<NodeIncarnation> members; ///< Sorted.
    std::uint64_t listRevision = 0;

    std::size_t quorum() const { return members.size() / 2 + 1; }
    bool contains(const NodeIncarnation &nodeIncarnation) const;
};

/// Converts the message to a roster and computes its id.
Roster makeRoster(const RosterMessage &message);
RosterMessage rosterMessage(const Roster &roster);

/// The rosters that a node knows: active rosters, and proposed ones that the node has consented to
/// or received. Additional entries can only make a witness grant fewer votes, so adding a roster is
/// always safe.
class RosterChain
{
public:
    /// Returns the roster for keys created at the given time, or null if none is known.
    const Roster *rosterAt(WallTime createdAt) const;
    const Roster *find(RosterId id) const;
    const Roster *lastActive() const;
    /// Returns the last active roster and all proposed rosters after it. The proposer of a new
    /// roster needs the consent of all their members.
    std::span<const Roster> live() const;
    std::span<const Roster> all() const { return m_rosters; }

    /// Returns whether the roster, or the fact that it is active, is new.
    bool add(const Roster &roster);
    /// Removes a proposed roster. Must only be called if its proposer has reported that it never
    /// becomes active.
    void remove(RosterId id);
    /// Removes rosters that are needed only for keys created before the given time.
    void prune(WallTime before);

    std::string describe() const;

private:
    std::vector<Roster> m_rosters; ///< Sorted by startsAt, then by id.
};

} // namespace berylridge
