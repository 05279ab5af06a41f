// Keeps two bounded buffers of entries that share one sequence.
#include "berylridge/Admin/AuditTrail.h"

#include <algorithm>

namespace berylridge {

namespace {

using Entries = std::deque<NumberedAuditEntry>;

Entries::const_iterator firstAfter(const Entries &entries, std::uint64_t sequence)
{
    return std::upper_bound(entries.begin(), entries.end(), sequence,
                            [](std::uint64_t wanted, const NumberedAuditEntry &entry) {
                                return wanted < entry.sequence;
                            });
}

} // namespace

AuditTrail::AuditTrail(Limits limits)
    : m_changes {{}, limits.changes}
    , m_reads {{}, limits.reads}
{
}

std::uint64_t AuditTrail::appendChange(AuditEntry entry)
{
    return append(m_changes, std::move(entry));
}

std::uint64_t AuditTrail::appendRead(AuditEntry entry)
{
    return append(m_reads, std::move(entry));
}

std::uint64_t AuditTrail::append(Ring &ring, AuditEntry entry)
{
    const std::lock_guard lock(m_mutex);
    ring.entries.push_back({++m_lastSequence, std::move(entry)});
    if (ring.entries.size() > ring.limit) {
        ring.lastEvictedSequence = ring.entries.front().sequence;
        ring.entries.pop_front();
    }
    return m_lastSequence;
}

AuditPage AuditTrail::after(std::uint64_t sequence, std::size_t limit) const
{
    const std::lock_guard lock(m_mutex);
    AuditPage page;
    page.last = sequence;
    page.hasGap
        = m_changes.lastEvictedSequence > sequence || m_reads.lastEvictedSequence > sequence;
    auto change = firstAfter(m_changes.entries, sequence);
    auto read = firstAfter(m_reads.entries, sequence);
    while (change != m_changes.entries.end() || read != m_reads.entries.end()) {
        if (page.entries.size() == limit) {
            page.hasMore = true;
            break;
        }
        const bool isChangeNext = read == m_reads.entries.end()
            || (change != m_changes.entries.end() && change->sequence < read->sequence);
        page.entries.push_back(isChangeNext ? *change++ : *read++);
        page.last = page.entries.back().sequence;
    }
    return page;
}

} // namespace berylridge
