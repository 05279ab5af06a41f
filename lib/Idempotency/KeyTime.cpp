#include "berylridge/Idempotency/KeyTime.h"

#include <charconv>
#include <optional>

namespace berylridge {

namespace {

constexpr std::string_view issuedPrefix = "issued-";
constexpr std::size_t uuidSize = 36;
constexpr std::size_t uuidVersionAt = 14;
constexpr std::size_t uuidVariantAt = 19;

std::string_view callerPart(std::string_view key)
{
    const auto service = key.find('\n');
    if (service == std::string_view::npos)
        return key;
    const auto workspace = key.find('\n', service + 1);
    if (workspace == std::string_view::npos)
        return key;
    return key.substr(workspace + 1);
}

std::optional<std::uint64_t> number(std::string_view text, int base)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value, base);
    if (text.empty() || stop != end || error != std::errc())
        return std::nullopt;
    return value;
}

bool hasUuidShape(std::string_view text)
{
    if (text.size() != uuidSize)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isDash = i == 8 || i == 13 || i == 18 || i == 23;
        if (isDash ? text[i] != '-' : !number(text.substr(i, 1), 16))
            return false;
    }
    return true;
}

std::optional<WallTime> uuidTime(std::string_view text)
{
    if (!hasUuidShape(text) || text[uuidVersionAt] != '7')
        return std::nullopt;
    // The variant's two leading bits are 10.
    if ((*number(text.substr(uuidVariantAt, 1), 16) & 0xC) != 0x8)
        return std::nullopt;
    const auto high = *number(text.substr(0, 8), 16);
    const auto low = *number(text.substr(9, 4), 16);
    return WallTime(std::chrono::milliseconds((high << 16) | low));
}

/// Takes the text up to the next dash.
std::string_view takePart(std::string_view &text)
{
    const auto dash = text.find('-');
    const auto part = text.substr(0, dash);
    text.remove_prefix(dash == std::string_view::npos ? text.size() : dash + 1);
    return part;
}

std::optional<KeyText> issuedText(std::string_view text)
{
    if (!text.starts_with(issuedPrefix))
        return std::nullopt;
    text.remove_prefix(issuedPrefix.size());
    const auto madeAt = number(takePart(text), 10);
    const auto sequence = number(takePart(text), 10);
    const auto incarnation = number(takePart(text), 10);
    // Times are kept far below the limits of their type, so that sums with lifetimes stay in it.
    if (!madeAt || *madeAt >> 48 != 0 || !sequence || !incarnation || text.empty())
        return std::nullopt;
    return KeyText {KeyKind::Issued, WallTime(std::chrono::milliseconds(*madeAt)), NodeId(text),
                    *incarnation, *sequence};
}

} // namespace

std::string scopedKey(const ServiceId &service, const WorkspaceId &workspace,
                      std::string_view callerKey)
{
    return service.str() + '\n' + workspace.str() + '\n' + std::string(callerKey);
}

KeyText parseKey(std::string_view scopedKey)
{
    const auto text = callerPart(scopedKey);
    if (const auto madeAt = uuidTime(text))
        return KeyText {KeyKind::Timed, *madeAt, {}, 0, 0};
    if (const auto issued = issuedText(text))
        return *issued;
    return {};
}

std::string issuedKeyText(const KeyText &text)
{
    return std::string(issuedPrefix) + std::to_string(text.madeAt.time_since_epoch().count()) + '-'
        + std::to_string(text.sequence) + '-' + std::to_string(text.issuerIncarnation) + '-'
        + text.issuer.str();
}

} // namespace berylridge
