// Passes on a server-sent event stream by whole events, so that it can be resumed after the last
// one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace berylridge {

/// Follows the events of one answer over all attempts that add to it. Only whole events come out:
/// a caller never gets half of one that a resumed stream would bring again.
class EventStream
{
public:
    /// Longest event that is held back until it is whole.
    static constexpr std::size_t maxEventBytes = 1 << 20;

    /// Whether only `data: [DONE]` makes a stream whole; else the end of the answer does.
    explicit EventStream(bool endsWithDoneEvent = true)
        : m_endsWithDoneEvent(endsWithDoneEvent)
    {
    }

    /// Takes in bytes of the current attempt; appends to out what may be passed on. False where the
    /// stream is unusable: an event beyond the limit or something after the end.
    bool feed(std::string_view bytes, std::string &out);

    /// Another attempt goes on after lastId(): drops the half event that the last one left.
    void beginAttempt() { m_pending.clear(); }

    /// Sets the id that the caller itself had from an earlier connection.
    void setLastId(std::string_view id);

    /// The id of the last event that was passed on; empty where none had one.
    const std::string &lastId() const { return m_lastId; }

    /// Whether the stream is whole if its answer ends here.
    bool isDone() const { return m_endsWithDoneEvent ? m_isDone : m_pending.empty(); }

private:
    bool processEvent(std::string_view event, std::string &out);

    const bool m_endsWithDoneEvent;
    std::string m_pending;
    std::string m_lastId;
    std::optional<std::uint64_t> m_lastEventNumber;
    bool m_isDone = false;
};

} // namespace berylridge
