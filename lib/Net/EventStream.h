// Forwards a server-sent event stream by complete events, so that it can be resumed after the last
// one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

/// Tracks the events of one response across all attempts that contribute to it. Only complete
/// events are forwarded, so a caller never receives part of an event that a resumed stream would
/// send again.
class EventStream
{
public:
    /// Maximum size of an event that is buffered until it is complete.
    static constexpr std::size_t maxEventBytes = 1 << 20;

    /// Maximum size of an event's id, which the head of a request that resumes the stream repeats.
    static constexpr std::size_t maxIdBytes = 4 << 10;
    /// Maximum size of the blank lines in a row that belong to no event.
    static constexpr std::size_t maxBlankBytes = 64 << 10;

    /// With `endsWithDoneEvent`, only `data: [DONE]` completes the stream; otherwise the end of the
    /// response does.
    explicit EventStream(bool endsWithDoneEvent = true)
        : m_endsWithDoneEvent(endsWithDoneEvent)
    {
    }

    /// Consumes bytes of the current attempt and appends the events to be forwarded to `out`.
    /// Returns false if the stream is invalid: an event, its id or blank lines above their limit,
    /// or data after the end.
    bool feed(std::string_view bytes, std::string &out);

    /// Starts another attempt, which continues after lastId(). Discards the incomplete event of the
    /// previous attempt.
    void beginAttempt()
    {
        discardIncompleteEvent();
        m_blankBytes = 0;
        m_hasEvents = false;
    }

    /// Frees the memory of the incomplete event.
    void discardIncompleteEvent()
    {
        m_pending.clear();
        m_pending.shrink_to_fit();
    }

    /// Returns the size of the incomplete event in bytes.
    std::size_t incompleteBytes() const { return m_pending.size(); }

    /// Sets the id of the last event that the caller received on an earlier connection.
    void setLastId(std::string_view id);

    /// Returns the id of the last forwarded event; empty if no event had an id.
    const std::string &lastId() const { return m_lastId; }

    /// Returns whether the current attempt has brought a complete event.
    bool hasEvents() const { return m_hasEvents; }

    /// Returns whether the stream is complete if the response ends here.
    bool isDone() const { return m_endsWithDoneEvent ? m_isDone : m_pending.empty(); }

private:
    /// Capacity of the buffer that stays allocated between events.
    static constexpr std::size_t keptBytes = 32 << 10;

    bool processEvent(std::string_view event, std::string &out);

    const bool m_endsWithDoneEvent;
    std::string m_pending;
    std::size_t m_blankBytes = 0; ///< Size of the blank lines since the last event.
    std::string m_lastId;
    std::optional<std::uint64_t> m_lastEventNumber;
    bool m_isDone = false;
    bool m_hasEvents = false;
};

} // namespace berylridge
