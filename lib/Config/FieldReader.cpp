// Checks of single fields and their error messages.
#include "FieldReader.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace berylridge {

namespace {

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_' || c == '.';
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= 64 && text.front() != '.'
        && std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isDigest(std::string_view text)
{
    return text.size() == 64 && std::all_of(text.begin(), text.end(), [](char c) {
               return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
           });
}

bool isNotEmpty(std::string_view text)
{
    return !text.empty() && text.find('\0') == std::string_view::npos;
}

std::string range(std::string_view what, const auto &low, const auto &high)
{
    std::ostringstream out;
    out << what << " from " << low << " to " << high;
    return out.str();
}

std::string alternatives(const std::vector<std::string_view> &choices)
{
    std::string text;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (i > 0)
            text += i + 1 == choices.size() ? " or " : ", ";
        text += '"';
        text += choices[i];
        text += '"';
    }
    return text;
}

/// Returns a name that is safe to print. Replaces control characters, which could change the state
/// of a terminal.
std::string printable(std::string_view name)
{
    std::string text(name.substr(0, 64));
    std::replace_if(
        text.begin(), text.end(), [](char c) { return c >= 0 && c < ' '; }, '?');
    return text;
}

} // namespace

const TextRule nameRule {isName,
                         "1 to 64 letters, digits, '-', '_' or '.', not beginning with '.'"};
const TextRule addressRule {isIpAddress, "an IP address, as in \"10.0.1.7\""};
const TextRule digestRule {isDigest,
                           "64 hex digits in lower case, as `berylctl digest` prints them"};
const TextRule notEmptyRule {isNotEmpty, "a string that is not empty"};

FieldReader::FieldReader(JsonSource &source, const Json::Value &object, std::string path)
    : m_source(source)
    , m_object(object.isObject() ? object : Json::Value::nullSingleton())
    , m_path(std::move(path))
{
    if (!object.isObject())
        m_source.report(object, m_path, "must be an object");
}

const Json::Value *FieldReader::find(std::string_view name, Presence presence,
                                     std::string_view allowed)
{
    m_known.emplace_back(name);
    if (!m_object.isObject())
        return nullptr;
    const auto *value = m_object.find(name.data(), name.data() + name.size());
    if (value)
        return value;
    if (presence == Presence::Required)
        report(name, "is missing; must be " + std::string(allowed));
    return nullptr;
}

std::optional<std::uint64_t> FieldReader::integerInRange(std::string_view name, std::uint64_t low,
                                                         std::uint64_t high, Presence presence)
{
    const auto allowed = range("an integer", low, high);
    const auto *value = find(name, presence, allowed);
    if (!value)
        return std::nullopt;
    if (value->isUInt64() && value->asUInt64() >= low && value->asUInt64() <= high)
        return value->asUInt64();
    report(name, "must be " + allowed);
    return std::nullopt;
}

void FieldReader::number(std::string_view name, double &out, double low, double high,
                         Presence presence)
{
    const auto allowed = range("a number", low, high);
    const auto *value = find(name, presence, allowed);
    if (!value)
        return;
    numberAt(*value, pathOf(name), out, low, high);
}

void FieldReader::numberAt(const Json::Value &value, const std::string &path, double &out,
                           double low, double high)
{
    if (value.isNumeric() && std::isfinite(value.asDouble()) && value.asDouble() >= low
        && value.asDouble() <= high)
        out = value.asDouble();
    else
        m_source.report(value, path, "must be " + range("a number", low, high));
}

void FieldReader::boolean(std::string_view name, bool &out)
{
    const auto *value = find(name, Presence::Optional, "true or false");
    if (!value)
        return;
    if (value->isBool())
        out = value->asBool();
    else
        report(name, "must be true or false");
}

void FieldReader::text(std::string_view name, std::string &out, const TextRule &rule,
                       Presence presence)
{
    const auto *value = find(name, presence, rule.allowed);
    if (!value)
        return;
    if (auto read = readText(m_source, *value, pathOf(name), rule))
        out = std::move(*read);
}

std::optional<std::size_t> FieldReader::choice(std::string_view name,
                                               const std::vector<std::string_view> &choices,
                                               Presence presence)
{
    const auto allowed = alternatives(choices);
    const auto *value = find(name, presence, allowed);
    if (!value)
        return std::nullopt;
    const auto found = value->isString()
        ? std::find(choices.begin(), choices.end(), value->asString())
        : choices.end();
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    report(name, "must be " + allowed);
    return std::nullopt;
}

void FieldReader::duration(std::string_view name, Duration &out, Duration low, Duration high)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto lowMs = static_cast<std::uint64_t>(duration_cast<milliseconds>(low).count());
    const auto highMs = static_cast<std::uint64_t>(duration_cast<milliseconds>(high).count());
    if (const auto value = integerInRange(name, lowMs, highMs, Presence::Optional))
        out = milliseconds(*value);
}

void FieldReader::endpoint(std::string_view name, Endpoint &out, Presence presence)
{
    const auto *value = find(name, presence, R"("10.0.1.7:7400")");
    if (value)
        endpointAt(*value, pathOf(name), out);
}

void FieldReader::endpointAt(const Json::Value &value, const std::string &path, Endpoint &out)
{
    if (value.isString()) {
        auto endpoint = parseEndpoint(value.asString());
        if (endpoint)
            out = *std::move(endpoint);
        else
            m_source.report(value, path, endpoint.failureReason());
        return;
    }
    FieldReader fields(m_source, value, path);
    fields.text("address", out.address, addressRule, Presence::Required);
    fields.integer("port", out.port, 1, 65535, Presence::Required);
    fields.finish();
}

bool FieldReader::list(std::string_view name, const ElementReader &readElement, Presence presence)
{
    const auto *value = find(name, presence, "a list");
    if (!value)
        return false;
    if (!value->isArray()) {
        report(name, "must be a list");
        return false;
    }
    for (Json::ArrayIndex i = 0; i < value->size(); ++i)
        readElement((*value)[i], pathOf(name) + "[" + std::to_string(i) + "]");
    return true;
}

void FieldReader::members(std::string_view name, const MemberReader &readMember, Presence presence)
{
    const auto *value = find(name, presence, "an object");
    if (!value)
        return;
    if (!value->isObject()) {
        report(name, "must be an object");
        return;
    }
    FieldReader(m_source, *value, pathOf(name)).forEachMember(readMember);
}

void FieldReader::forEachMember(const MemberReader &readMember)
{
    if (!m_object.isObject())
        return;
    for (auto member = m_object.begin(); member != m_object.end(); ++member) {
        const auto name = member.name();
        const auto path = pathOf(printable(JsonSource::originalName(name)));
        if (JsonSource::isRepeatedName(name))
            m_source.report(*member, path, "given more than once");
        else
            readMember(name, *member, path);
    }
}

std::vector<std::string> FieldReader::names() const
{
    auto names = m_object.isObject() ? m_object.getMemberNames() : std::vector<std::string>();
    std::erase_if(names, [](const std::string &name) { return JsonSource::isRepeatedName(name); });
    return names;
}

void FieldReader::report(std::string_view name, std::string message)
{
    const auto *value
        = m_object.isObject() ? m_object.find(name.data(), name.data() + name.size()) : nullptr;
    m_source.report(value ? *value : m_object, pathOf(name), std::move(message));
}

void FieldReader::finish()
{
    if (!m_object.isObject())
        return;
    for (auto member = m_object.begin(); member != m_object.end(); ++member) {
        const auto name = member.name();
        const auto path = pathOf(printable(JsonSource::originalName(name)));
        if (JsonSource::isRepeatedName(name)) {
            m_source.report(*member, path, "given more than once");
            continue;
        }
        if (std::find(m_known.begin(), m_known.end(), name) != m_known.end())
            continue;
        std::string allowed;
        for (const auto &known : m_known)
            allowed += (allowed.empty() ? "" : ", ") + known;
        m_source.report(*member, path, "unknown name; allowed here: " + allowed);
    }
}

std::string FieldReader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

std::optional<std::string> readText(JsonSource &source, const Json::Value &value,
                                    const std::string &path, const TextRule &rule)
{
    if (value.isString()) {
        auto text = value.asString();
        if (rule.isAllowed(text))
            return text;
    }
    source.report(value, path, "must be " + std::string(rule.allowed));
    return std::nullopt;
}

} // namespace berylridge
