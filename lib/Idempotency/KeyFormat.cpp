#include "berylridge/Idempotency/KeyFormat.h"

#include <charconv>
#include <optional>

namespace berylridge {

namespace {

constexpr std::string_view issuedPrefix = "issued-";
constexpr std::size_t uuidSize = 36;
constexpr std::size_t uuidVersionIndex = 14;
constexpr std::size_t uuidVariantIndex = 19;

std::string_view callerKeyPart(std::string_view key)
{
    const auto service = key.find('\n');
    if (service == std::string_view::npos)
        return key;
    const auto workspace = key.find('\n', service + 1);
    if (workspace == std::string_view::npos)
        return key;
    return key.substr(workspace + 1);
}

std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, base);
    if (text.empty() || stop != end || error != std::errc())
        return std::nullopt;
    return value;
}

bool hasUuidFormat(std::string_view text)
{
    if (text.size() != uuidSize)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        if (isDash ? text[i] != '-' : !parseNumber(text.substr(i, 1), 16))
            return false;
    }
    return true;
}

std::optional<WallTime> uuidTimestamp(std::string_view text)
{
    if (!hasUuidFormat(text) || text[uuidVersionIndex] != '7')
        return std::nullopt;
    // The two leading bits of the UUID variant are 10.
    if ((*parseNumber(text.substr(uuidVariantIndex, 1), 16) & 0xC) != 0x8)
        return std::nullopt;
    const auto high = *parseNumber(text.substr(0, 8), 16);
    const auto low = *parseNumber(text.substr(9, 4), 16);
    return WallTime(std::chrono::milliseconds((high << 16) | low));
}

/// Removes and returns the text up to the next dash.
std::string_view takeField(std::string_view &text)
{
    const auto dash = text.find('-');
    const auto part = text.substr(0, dash);
    text.remove_prefix(dash == std::string_view::npos ? text.size() : dash + 1);
    return part;
}

std::optional<ParsedKey> parseIssuedKey(std::string_view text)
{
    if (!text.starts_with(issuedPrefix))
        return std::nullopt;
    text.remove_prefix(issuedPrefix.size());
    const auto createdAt = parseNumber(takeField(text), 10);
    const auto sequence = parseNumber(takeField(text), 10);
    const auto incarnation = parseNumber(takeField(text), 10);
    // Limits timestamps to 48 bits so that adding a lifetime cannot overflow.
    if (!createdAt || *createdAt >> 48 != 0 || !sequence || !incarnation || text.empty())
        return std::nullopt;
    return ParsedKey {KeyKind::Issued, WallTime(std::chrono::milliseconds(*createdAt)),
                      NodeId(text), *incarnation, *sequence};
}

} // namespace

std::string scopedKey(const ServiceId &service, const WorkspaceId &workspace,
                      std::string_view callerKey)
{
    return service.str() + '\n' + workspace.str() + '\n' + std::string(callerKey);
}

ParsedKey parseKey(std::string_view scopedKey)
{
    const auto text = callerKeyPart(scopedKey);
    if (const auto createdAt = uuidTimestamp(text))
        return ParsedKey {KeyKind::Timestamped, *createdAt, {}, 0, 0};
    if (const auto issued = parseIssuedKey(text))
        return *issued;
    return {};
}

std::string formatIssuedKey(const ParsedKey &key)
{
    return std::string(issuedPrefix) + std::to_string(key.createdAt.time_since_epoch().count())
        + '-' + std::to_string(key.sequence) + '-' + std::to_string(key.issuerIncarnation) + '-'
        + key.issuer.str();
}

} // namespace berylridge
