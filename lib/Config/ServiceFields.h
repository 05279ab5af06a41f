// Fields that service documents and the operators' service files have in common.
#pragma once

#include "FieldReader.h"

#include "berylridge/Config/Documents.h"

#include <set>
#include <string>
#include <string_view>

namespace berylridge {

extern const TextRule methodRule;
extern const TextRule pathPrefixRule;

inline constexpr double minWeight = 0.001;
inline constexpr double maxWeight = 1e6;
inline constexpr std::uint64_t maxQueueLimit = 1'000'000;

/// Reads kind, slots, timeouts and limits.
void readServiceLimits(FieldReader &fields, ServiceDocument &document);

/// Reports each key that an earlier element of the same list already has.
class UniquenessCheck
{
public:
    UniquenessCheck(JsonSource &source, std::string message)
        : m_source(source)
        , m_message(std::move(message))
    {
    }
    void check(const Json::Value &at, const std::string &path, const std::string &key);

private:
    JsonSource &m_source;
    std::string m_message;
    std::set<std::string> m_seen;
};

} // namespace berylridge
