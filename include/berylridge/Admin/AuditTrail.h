// Keeps the audit trail of one node: bounded, in memory, and numbered so that a reader can resume
// after the last entry that it read. Nodes store nothing on disk; `berylctl audit` collects the
// trails before they are lost.
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
    std::uint64_t sequence = 0; ///< Starts at 1; has no gaps while the process runs.
    AuditEntry entry;
};

struct AuditPage
{
    std::vector<NumberedAuditEntry> entries; ///< In ascending order of sequence.
    std::uint64_t last = 0; ///< The sequence of the last entry returned, to resume after.
    bool hasGap = false;    ///< Entries after the requested sequence were evicted.
    bool hasMore = false;   ///< The limit was reached.
};

/// Thread-safe.
class AuditTrail
{
public:
    struct Limits
    {
        std::size_t changes = 4096; ///< Maximum number of entries for calls that changed something.
        std::size_t reads = 512;    ///< Maximum number of entries for reads and rejected calls.
    };

    AuditTrail()
        : AuditTrail(Limits())
    {
    }
    explicit AuditTrail(Limits limits);

    std::uint64_t appendChange(AuditEntry entry);
    /// Reads and rejected calls have a buffer of their own. Otherwise a dashboard that polls every
    /// second, or a client that tries keys, would evict the entry that names who evacuated a zone.
    std::uint64_t appendRead(AuditEntry entry);

    /// Returns at most limit entries with a sequence above the given one.
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
