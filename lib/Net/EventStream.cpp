#include "EventStream.h"

#include <algorithm>
#include <charconv>

namespace berylridge {

namespace {

constexpr std::string_view doneMarker = "[DONE]";

std::optional<std::uint64_t> parseEventNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

/// Returns the next line without its terminator and removes it from the text.
std::string_view takeLine(std::string_view &text)
{
    const std::size_t end = text.find('\n');
    std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

/// Returns the field's value if the line holds that field.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (!line.starts_with(name))
        return std::nullopt;
    line.remove_prefix(name.size());
    if (line.empty())
        return line;
    if (line.front() != ':')
        return std::nullopt;
    line.remove_prefix(1);
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

/// Returns the position after the first event, including its blank line.
std::size_t endOfEvent(std::string_view text, std::size_t from)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const std::string_view rest = text.substr(at + 1);
        if (rest.starts_with('\n'))
            return at + 2;
        if (rest.starts_with("\r\n"))
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

void EventStream::setLastId(std::string_view id)
{
    m_lastId = id;
    m_lastEventNumber = parseEventNumber(id);
}

bool EventStream::feed(std::string_view bytes, std::string &out)
{
    // At most three bytes of a terminator ("\n\r" + "\n") can precede the new bytes.
    const std::size_t before = m_pending.size();
    std::size_t searchFrom = before < 3 ? 0 : before - 3;
    m_pending.append(bytes);
    std::string_view rest = m_pending;
    while (true) {
        const std::size_t end = endOfEvent(rest, searchFrom);
        if (end == std::string_view::npos)
            break;
        if (!processEvent(rest.substr(0, end), out))
            return false;
        rest.remove_prefix(end);
        searchFrom = 0;
    }
    m_pending.erase(0, m_pending.size() - rest.size());
    if (m_pending.capacity() > std::max(keptBytes, 2 * m_pending.size()))
        m_pending.shrink_to_fit();
    return m_pending.size() <= maxEventBytes;
}

bool EventStream::processEvent(std::string_view event, std::string &out)
{
    std::optional<std::string_view> id;
    std::string_view data;
    bool isBlank = true;
    for (std::string_view rest = event; !rest.empty();) {
        const std::string_view line = takeLine(rest);
        isBlank = isBlank && line.empty();
        if (const auto value = fieldValue(line, "id"))
            id = value;
        if (const auto value = fieldValue(line, "data"))
            data = *value;
    }
    m_blankBytes = isBlank ? m_blankBytes + event.size() : 0;
    if (isBlank)
        return m_blankBytes <= maxBlankBytes;
    if (m_isDone || (id && id->size() > maxIdBytes))
        return false;
    m_hasEvents = m_hasEvents || id || !data.empty();
    const std::optional<std::uint64_t> number = id ? parseEventNumber(*id) : std::nullopt;
    // A target that resumes a stream may repeat events. Event numbers increase, so an event without
    // a higher number was already forwarded.
    if (number && m_lastEventNumber && *number <= *m_lastEventNumber)
        return true;
    if (id) {
        m_lastId = *id;
        m_lastEventNumber = number;
    }
    m_isDone = m_endsWithDoneEvent && data == doneMarker;
    out.append(event);
    return true;
}

} // namespace berylridge
