// Decides which nodes read the platform's state. A few nodes of each zone do; the others receive it
// through digests and relays.
//
// The platform counts and limits all calls. With a watch on each of 74 nodes, the fleet made 630
// calls a second on a calm day; a fleet with ten times as many nodes would be rejected.
#pragma once

#include "BalancerContext.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace berylridge {

class ReaderRole
{
public:
    explicit ReaderRole(BalancerContext &context)
        : m_context(context)
        , m_startedAt(context.now)
        , m_noAnswerSince(context.now)
    {
    }

    /// Records the state that a peer reports to have.
    void onPeerState(std::uint64_t catalogVersion, std::uint64_t directoryRevision);

    /// Returns whether some peer has reported to know the platform's state.
    bool isStateKnownToPeers() const;

    /// Returns whether this node reads the platform's state from now on. Called once per period.
    bool update();
    bool isReadingPlatform() const { return m_isReading; }
    /// Returns whether the platform's last answer to any node is older than readers leave it: they
    /// may have ended or lost their path to the platform, or the platform is down.
    bool isAnswerOverdue() const { return answerAge() > maxAnswerAge(); }

private:
    /// A version of some state that a peer has and this node lacks.
    struct MissingVersion
    {
        std::uint64_t version = 0;
        std::optional<TimePoint> missingSince;

        /// Returns how long this node has lacked the version. Once it has it, the next one that it
        /// lacks becomes the missing version.
        Duration update(std::uint64_t ownVersion, std::uint64_t newestVersion, TimePoint now);
    };

    bool shouldRead();
    bool shouldReadInitialState() const;
    bool isPersistentlyBehind();
    bool shouldReplaceReaders() const;
    Duration answerAge() const;
    Duration maxAnswerAge() const;
    bool isSeed() const;
    std::size_t otherSeedCount() const;
    /// Counts the other nodes of this zone that match and sent a digest within the given time.
    template <typename Matches>
    std::size_t countInZone(Duration maxSilence, Matches matches) const;
    /// Counts the live nodes of this zone that precede this one in the order of node ids and match.
    template <typename Matches>
    std::size_t countPreceding(Matches matches) const;
    std::size_t precedingReaders() const;
    std::size_t precedingNodes() const;

    BalancerContext &m_context;
    const TimePoint m_startedAt;
    std::uint64_t m_newestPeerRevision = 0; ///< Highest directory revision of any peer.
    MissingVersion m_missingCatalog;
    MissingVersion m_missingDirectory;
    /// Time since which too few readers precede this node.
    std::optional<TimePoint> m_tooFewReadersSince;
    /// Time since which enough readers precede this node.
    std::optional<TimePoint> m_enoughReadersSince;
    TimePoint m_mustReadUntil {};
    TimePoint m_noAnswerSince; ///< Time since which no answer of the platform is known.
    bool m_isReading = false;
};

} // namespace berylridge
