#include "berylridge/Policy/StreamOrigins.h"

namespace berylridge {

std::string_view originBasisName(OriginBasis basis)
{
    switch (basis) {
    case OriginBasis::Unstated:
        return "unstated";
    case OriginBasis::Record:
        return "record";
    case OriginBasis::OnlyVersion:
        return "only-version";
    }
    return "unstated";
}

void StreamOrigins::record(StreamKey stream, const StreamOrigin &origin, Duration lifetime,
                           TimePoint now)
{
    const auto [found, isNew] = m_entries.try_emplace(stream, Entry {origin, now + lifetime});
    Entry &entry = found->second;
    if (!isNew) {
        if (origin.attempt >= entry.origin.attempt)
            entry.origin = origin;
        entry.expiresAt = now + lifetime;
    }
    m_queue.push_back({stream, entry.expiresAt});
    while (m_queue.size() > maxStreams)
        removeOldest();
}

const StreamOrigin *StreamOrigins::find(StreamKey stream) const
{
    const auto found = m_entries.find(stream);
    return found == m_entries.end() ? nullptr : &found->second.origin;
}

void StreamOrigins::expire(TimePoint now)
{
    while (!m_queue.empty() && m_queue.front().expiresAt <= now)
        removeOldest();
}

void StreamOrigins::removeOldest()
{
    const auto found = m_entries.find(m_queue.front().stream);
    if (found != m_entries.end() && found->second.expiresAt == m_queue.front().expiresAt)
        m_entries.erase(found);
    m_queue.pop_front();
}

} // namespace berylridge
