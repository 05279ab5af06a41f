// Stores which software version began which stream.
#pragma once

#include "berylridge/Support/Time.h"
#include "berylridge/Support/VersionKey.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>

namespace berylridge {

/// Hash of the request id of the attempt that brought a stream's first event.
using StreamKey = std::uint64_t;

/// What the knowledge of a stream's origin rests on.
enum class OriginBasis : std::uint8_t {
    Unstated,    ///< An earlier release doesn't state it.
    Record,      ///< A node recorded the stream.
    OnlyVersion, ///< No other version was listed for longer than a stream lasts.
};

/// Returns a word for logs and metrics.
std::string_view originBasisName(OriginBasis basis);

struct StreamOrigin
{
    std::uint32_t service = 0; ///< hash32() of the service's name.
    VersionKey version = unknownVersion;
    /// Number of the node's attempt. The first attempts may have failed before an event, so that
    /// of two origins of a stream the one with the higher number holds.
    std::uint32_t attempt = 0;
    OriginBasis basis = OriginBasis::Record;
};

/// Not thread-safe.
class StreamOrigins
{
public:
    /// Bounds the memory, about 10 MB. The oldest streams are forgotten first.
    static constexpr std::size_t maxStreams = 100'000;

    /// Adds the stream, or extends its time.
    void record(StreamKey stream, const StreamOrigin &origin, Duration lifetime, TimePoint now);
    const StreamOrigin *find(StreamKey stream) const;
    void expire(TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        StreamOrigin origin;
        TimePoint expiresAt;
    };
    /// An entry whose time was extended has several positions in the queue.
    struct QueuedExpiry
    {
        StreamKey stream;
        TimePoint expiresAt;
    };

    void removeOldest();

    std::unordered_map<StreamKey, Entry> m_entries;
    std::deque<QueuedExpiry> m_queue;
};

} // namespace berylridge
