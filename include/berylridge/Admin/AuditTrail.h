// The audit trail of one node: bounded, in memory, numbered so that a reader can go on where it
// stopped. Nodes keep nothing on disk; `berylctl audit` gathers the trails before they are lost.
#pragma once

#include "berylridge/Support/Audit.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

namespace berylridge {

struct NumberedAuditEntry
{
    std::uint64_t sequence = 0; ///< From 1, without gaps over the node's whole run.
    AuditEntry entry;
};

struct AuditPage
{
    std::vector<NumberedAuditEntry> entries; ///< By rising sequence.
    std::uint64_t last = 0; ///< Sequence to go on after; that of the last entry given.
    bool hasGap = false;    ///< Entries after the asked one were already given up.
    bool hasMore = false;   ///< The limit was hit.
};

/// Safe for use by several threads at once.
class AuditTrail
{
public:
    struct Limits
    {
        std::size_t changes = 4096; ///< Entries kept of what changed something.
        std::size_t reads = 512;    ///< Entries kept of calls that only looked, or were rejected.
    };

    AuditTrail()
        : AuditTrail(Limits())
    {
    }
    explicit AuditTrail(Limits limits);

    std::uint64_t appendChange(AuditEntry entry);
    /// Calls that look are kept apart: a dashboard that asks each second, or a stranger who tries
    /// keys, would else push out the entry that tells who took a zone out.
    std::uint64_t appendRead(AuditEntry entry);

    /// At most limit entries with a sequence above the given one.
    AuditPage after(std::uint64_t sequence, std::size_t limit) const;

private:
    struct Ring
    {
        std::deque<NumberedAuditEntry> entries;
        std::size_t limit;
        std::uint64_t lastEvictedSequence = 0;
    };

    std::uint64_t append(Ring &ring, AuditEntry entry);

    mutable std::mutex m_mutex;
    std::uint64_t m_lastSequence = 0;
    Ring m_changes;
    Ring m_reads;
};

} // namespace berylridge
