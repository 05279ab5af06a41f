// A roster: the set of witnesses for the keys made after a moment; and the chain of rosters that a
// node knows, in the order of those moments.
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

/// A hash of the roster's content; 0 means none.
using RosterId = std::uint64_t;

/// One run of one node: a node that restarts is another member, for it has forgotten its votes.
struct NodeRun
{
    NodeId node;
    Incarnation incarnation = 0;

    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the operator for a null pointer
    auto operator<=>(const NodeRun &) const = default;
    bool operator==(const NodeRun &) const = default;
};

/// Witnesses of the keys with startsAt < time made <= startsAt of the next roster.
struct Roster
{
    RosterId id = 0;
    NodeRun proposer;
    std::uint64_t sequence = 0;
    WallTime startsAt;
    bool isActive = false;
    std::vector<NodeRun> members; ///< Sorted.
    std::uint64_t listRevision = 0;

    std::size_t quorum() const { return members.size() / 2 + 1; }
    bool contains(const NodeRun &run) const;
};

/// Computes the id as well.
Roster makeRoster(const RosterMessage &message);
RosterMessage rosterMessage(const Roster &roster);

/// The rosters that a node knows: active ones, and proposed ones that it consented to or was told
/// of. More entries only ever make a witness vote less, so adding one is always safe.
class RosterChain
{
public:
    /// The roster of keys made at the time; null where none is known.
    const Roster *rosterAt(WallTime createdAt) const;
    const Roster *find(RosterId id) const;
    const Roster *lastActive() const;
    /// The last active roster and all proposed ones after it: whoever makes a new roster needs the
    /// consent of all their members.
    std::span<const Roster> live() const;
    std::span<const Roster> all() const { return m_rosters; }

    /// Returns whether anything is new: the roster, or that it is active.
    bool add(const Roster &roster);
    /// Only for a proposed roster of which its proposer says that it never becomes active.
    void remove(RosterId id);
    /// Drops what only keys made before the time would need.
    void prune(WallTime before);

    std::string describe() const;

private:
    std::vector<Roster> m_rosters; ///< By startsAt, then id.
};

} // namespace berylridge
