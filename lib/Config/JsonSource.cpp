// Parses JSON with jsoncpp and converts its errors to diagnostics.
#include "JsonSource.h"

#include <algorithm>
#include <json/reader.h>
#include <memory>

namespace berylridge {

namespace {

/// Prefix that marks a repeated name; valid names never begin with it.
constexpr char repeatedNameMarker = '\x01';
/// Parsing stops at the first repeated name beyond this number. Each of them requires parsing the
/// whole text again, and a router reads documents on its control thread.
constexpr int maxRepeatedNames = 16;
constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

struct Position
{
    int line = 0;
    int column = 0;
};

/// Parses "Line 3, Column 5" after the given offset in the parser's errors.
std::optional<Position> positionAfter(const std::string &errors, std::size_t from)
{
    const auto lineAt = errors.find("Line ", from);
    const auto columnAt = errors.find("Column ", from);
    if (lineAt == std::string::npos || columnAt == std::string::npos)
        return std::nullopt;
    return Position {std::atoi(errors.c_str() + lineAt + 5),    // NOLINT: The parser wrote digits.
                     std::atoi(errors.c_str() + columnAt + 7)}; // NOLINT: as above
}

/// Returns the offset of each line's start. Counts lines like the parser, for which a carriage
/// return ends a line, alone or before a line feed.
std::vector<std::size_t> lineStartsOf(std::string_view text)
{
    std::vector<std::size_t> starts {0};
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isPair = text[i] == '\r' && i + 1 < text.size() && text[i + 1] == '\n';
        if (text[i] == '\n' || (text[i] == '\r' && !isPair))
            starts.push_back(i + 1);
    }
    return starts;
}

/// Parses the text. Returns the parser's errors; empty on success.
std::string parseInto(const std::string &text, Json::Value &root)
{
    Json::CharReaderBuilder builder;
    builder["collectComments"] = false;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    builder["stackLimit"] = 64;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &root, &errors))
            return {};
    } catch (const std::exception &error) {
        // The parser throws if the nesting exceeds its limit.
        return std::string("* Line 1, Column 1\n  ") + error.what() + "\n";
    }
    return errors.empty() ? "* Line 1, Column 1\n  not JSON\n" : errors;
}

/// Returns a message of the parser in the style of this project's diagnostics: it starts in lower
/// case and has no full stop.
std::string normalizedMessage(std::string message)
{
    while (!message.empty() && (message.back() == '.' || message.back() == ' '))
        message.pop_back();
    if (!message.empty())
        message[0] = static_cast<char>(std::tolower(static_cast<unsigned char>(message[0])));
    return message;
}

} // namespace

JsonSource::JsonSource(std::string_view file, std::string_view text)
    : m_file(file)
    , m_text(text.starts_with(byteOrderMark) ? text.substr(byteOrderMark.size()) : text)
    , m_lineStarts(lineStartsOf(m_text))
{
}

std::optional<Json::Value> JsonSource::parse()
{
    Json::Value root;
    std::string errors = parseInto(m_text, root);
    // The parser stops reading an object at its first repeated name. Marking that name and parsing
    // again finds the next one, and allows the checks of all other fields to run.
    for (int i = 0; i < maxRepeatedNames && !errors.empty() && markRepeatedName(errors); ++i) {
        root = Json::Value();
        errors = parseInto(m_text, root);
    }
    if (!errors.empty()) {
        reportSyntax(errors);
        return std::nullopt;
    }
    if (!root.isObject()) {
        report(root, "", "must be an object");
        return std::nullopt;
    }
    return root;
}

bool JsonSource::isRepeatedName(std::string_view name)
{
    return !name.empty() && name.front() == repeatedNameMarker;
}

std::string_view JsonSource::originalName(std::string_view name)
{
    const auto begin = name.find_first_not_of(repeatedNameMarker);
    return begin == std::string_view::npos ? std::string_view() : name.substr(begin);
}

void JsonSource::report(const Json::Value &at, std::string name, std::string message)
{
    report(lineOf(at), std::move(name), std::move(message));
}

void JsonSource::report(int line, std::string name, std::string message)
{
    m_diagnostics.push_back({m_file, line, std::move(name), std::move(message)});
}

int JsonSource::lineOf(const Json::Value &value) const
{
    const auto offset = static_cast<std::size_t>(value.getOffsetStart());
    const auto next = std::upper_bound(m_lineStarts.begin(), m_lineStarts.end(), offset);
    return static_cast<int>(next - m_lineStarts.begin());
}

std::vector<Diagnostic> JsonSource::takeDiagnostics()
{
    std::stable_sort(m_diagnostics.begin(), m_diagnostics.end(),
                     [](const Diagnostic &a, const Diagnostic &b) { return a.line < b.line; });
    return std::move(m_diagnostics);
}

bool JsonSource::markRepeatedName(const std::string &parserErrors)
{
    const auto message = parserErrors.find("\n  ");
    if (message == std::string::npos || parserErrors.compare(message + 3, 13, "Duplicate key") != 0)
        return false;
    const auto position = positionAfter(parserErrors, 0);
    if (!position)
        return false;
    const auto line = static_cast<std::size_t>(position->line) - 1;
    if (line >= m_lineStarts.size())
        return false;
    const auto quote = m_lineStarts[line] + static_cast<std::size_t>(position->column) - 1;
    if (quote >= m_text.size() || m_text[quote] != '"')
        return false;
    m_text.insert(quote + 1, 1, repeatedNameMarker);
    m_lineStarts = lineStartsOf(m_text);
    return true;
}

void JsonSource::reportSyntax(const std::string &parserErrors)
{
    // Only the first error is reported, since the later ones result from the parser's error
    // recovery.
    const auto position = positionAfter(parserErrors, 0).value_or(Position {1, 1});
    const auto begin = parserErrors.find("\n  ");
    std::string message = "not JSON";
    if (begin != std::string::npos)
        message = parserErrors.substr(begin + 3, parserErrors.find('\n', begin + 3) - begin - 3);
    report(position.line, "", normalizedMessage(std::move(message)));
}

} // namespace berylridge
