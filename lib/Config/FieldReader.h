// Reads and checks the fields of one JSON object. Reading continues after each error, so that all
// errors are reported; finish() reports the names that the caller has not read.
#pragma once

#include "JsonSource.h"

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Time.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <json/value.h>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

enum class Presence : std::uint8_t { Required, Optional };

/// A check of a string, and a description of what it allows.
struct TextRule
{
    bool (*isAllowed)(std::string_view text);
    std::string_view allowed; ///< Follows "must be " in messages.
};

/// Rule for names of services, zones, workspaces, targets and nodes, which occur in paths and
/// headers.
extern const TextRule nameRule;
extern const TextRule addressRule;
extern const TextRule digestRule;
extern const TextRule notEmptyRule;

class FieldReader
{
public:
    /// The path is empty for the root. Reports an error if the value is not an object.
    FieldReader(JsonSource &source, const Json::Value &object, std::string path = {});

    template <std::unsigned_integral Int>
    void integer(std::string_view name, Int &out, std::uint64_t low,
                 std::uint64_t high = std::numeric_limits<Int>::max(),
                 Presence presence = Presence::Optional)
    {
        if (const auto value = integerInRange(name, low, high, presence))
            out = static_cast<Int>(*value);
    }
    void number(std::string_view name, double &out, double low, double high,
                Presence presence = Presence::Optional);
    /// Reads a number from a value that is not a field of this object.
    void numberAt(const Json::Value &value, const std::string &path, double &out, double low,
                  double high);
    void boolean(std::string_view name, bool &out);
    void text(std::string_view name, std::string &out, const TextRule &rule,
              Presence presence = Presence::Optional);
    /// Reads a string that must be one of the choices. Returns its index in the list.
    std::optional<std::size_t> choice(std::string_view name,
                                      const std::vector<std::string_view> &choices,
                                      Presence presence = Presence::Optional);
    /// Reads a duration in whole milliseconds; the field's name ends in Ms.
    void duration(std::string_view name, Duration &out, Duration low, Duration high);
    /// Reads an endpoint, written as "10.0.1.7:7400" or as an object with address and port.
    void endpoint(std::string_view name, Endpoint &out, Presence presence = Presence::Required);
    /// Reads an endpoint from a value that is not a field of this object.
    void endpointAt(const Json::Value &value, const std::string &path, Endpoint &out);

    template <typename Kind>
    void id(std::string_view name, Name<Kind> &out, Presence presence = Presence::Required)
    {
        std::string value;
        text(name, value, nameRule, presence);
        if (!value.empty())
            out = Name<Kind>(std::move(value));
    }

    using ElementReader = std::function<void(const Json::Value &element, const std::string &path)>;
    /// Calls the function with each element of a list and the element's dotted path. Returns
    /// whether the field is a list.
    bool list(std::string_view name, const ElementReader &readElement,
              Presence presence = Presence::Optional);
    /// Calls the function for each member of a field that is an object with arbitrary names.
    using MemberReader = std::function<void(const std::string &name, const Json::Value &member,
                                            const std::string &path)>;
    void members(std::string_view name, const MemberReader &readMember,
                 Presence presence = Presence::Optional);

    /// Calls the function for each member of this object itself.
    void forEachMember(const MemberReader &readMember);
    /// Returns the names of this object's members without repeated ones.
    std::vector<std::string> names() const;

    /// Reports an error at a field, or at the object if the field is missing.
    void report(std::string_view name, std::string message);
    /// Reports names that were not read and names that occur more than once.
    void finish();

    std::string pathOf(std::string_view name) const;
    JsonSource &source() { return m_source; }

private:
    const Json::Value *find(std::string_view name, Presence presence, std::string_view allowed);
    std::optional<std::uint64_t> integerInRange(std::string_view name, std::uint64_t low,
                                                std::uint64_t high, Presence presence);

    JsonSource &m_source;
    const Json::Value &m_object;
    std::string m_path;
    std::vector<std::string> m_known;
};

/// Reads a whole text whose root is an object. The function reads its fields into the value.
template <typename T, std::invocable<FieldReader &, T &> ReadFields>
ReadResult<T> readRoot(std::string_view file, std::string_view text, ReadFields readFields)
{
    JsonSource source(file, text);
    T value;
    if (const auto root = source.parse()) {
        FieldReader fields(source, *root);
        readFields(fields, value);
        fields.finish();
    }
    if (source.hasErrors())
        return {std::nullopt, source.takeDiagnostics()};
    return {std::move(value), {}};
}

/// Reads an element that must be a string that satisfies a rule.
std::optional<std::string> readText(JsonSource &source, const Json::Value &value,
                                    const std::string &path, const TextRule &rule);

} // namespace berylridge
