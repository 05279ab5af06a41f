// Reads the fields that service documents and service files share, and defines their rules.
#include "ServiceFields.h"

#include <algorithm>

namespace berylridge {

namespace {

constexpr Duration oneMillisecond = std::chrono::milliseconds(1);
constexpr Duration oneHour = std::chrono::hours(1);
constexpr std::uint64_t maxBodyLimitBytes = 1ULL << 30;

bool isMethod(std::string_view text)
{
    return !text.empty() && text.size() <= 20
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

bool isPathPrefix(std::string_view text)
{
    return text.size() <= 256 && text.starts_with('/')
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

} // namespace

const TextRule methodRule {isMethod, "an HTTP method in capitals, as in \"POST\""};
const TextRule pathPrefixRule {isPathPrefix, "a path that begins with '/', as in \"/v1/orders\""};

void UniquenessCheck::check(const Json::Value &at, const std::string &path, const std::string &key)
{
    if (!key.empty() && !m_seen.insert(key).second)
        m_source.report(at, path, m_message);
}

void readServiceLimits(FieldReader &fields, ServiceDocument &document)
{
    if (const auto kind = fields.choice("kind", {"plain", "model-engine"}))
        document.kind = *kind == 0 ? ServiceKind::Plain : ServiceKind::ModelEngine;
    fields.integer("slots", document.slots, 1, 65536);
    fields.integer("coldSlots", document.coldSlots, 1, 65536);
    if (document.coldSlots > document.slots)
        fields.report("coldSlots",
                      "must be at most slots (" + std::to_string(document.slots) + ")");
    fields.integer("warmAfter", document.warmAfter, 1, 1'000'000);
    fields.duration("queueTimeoutMs", document.queueTimeout, oneMillisecond, oneHour);
    fields.duration("attemptTimeoutMs", document.attemptTimeout, oneMillisecond, 24 * oneHour);
    fields.duration("idleTimeoutMs", document.idleTimeout, oneMillisecond, oneHour);
    fields.number("retryBudget", document.retryBudget, 0, 1);
    fields.integer("bodyLimit", document.bodyLimit, 1, maxBodyLimitBytes);
}

} // namespace berylridge
