// Which nodes read the platform's state. A few in each zone do; the others updateTargetHealth from
// them by digests and relays.
//
// Load it answers: the platform bounds and counts all calls. With a watch on each of 74 nodes the
// fleet made 630 calls a second on a calm day, and ten times as many nodes would be turned away.
#pragma once

#include "BalancerContext.h"

#include <optional>

namespace berylridge {

class ReaderRole
{
public:
    explicit ReaderRole(BalancerContext &context)
        : m_context(context)
        , m_startedAt(context.now)
    {
    }

    /// A peer told which state it has.
    void onPeerState(std::uint64_t catalogVersion, std::uint64_t directoryRevision);

    /// Whether this node is to read from now on; called each period.
    bool update();
    bool isReading() const { return m_isReading; }

private:
    bool shouldRead();
    bool isPersistentlyBehind();
    /// Nodes of this zone that were heard lately, come first in the order, and match.
    template <typename Matches>
    std::size_t countPreceding(Matches matches) const;
    std::size_t precedingReaders() const;
    std::size_t precedingNodes() const;

    BalancerContext &m_context;
    const TimePoint m_startedAt;
    std::uint64_t m_newestPeerVersion = 0;  ///< Highest of any peer's catalog.
    std::uint64_t m_newestPeerRevision = 0; ///< Highest of any peer's directory.
    std::uint64_t m_ownVersion = 0;         ///< When it was looked at last.
    std::uint64_t m_ownRevision = 0;
    std::optional<TimePoint> m_behindSince;        ///< Without any progress.
    std::optional<TimePoint> m_tooFewReadersSince; ///< Too few readers precede this node.
    std::optional<TimePoint> m_enoughReadersSince;
    TimePoint m_mustReadUntil {};
    bool m_isReading = false;
};

} // namespace berylridge
