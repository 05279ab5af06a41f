// Numbered log events. The list is Support/LogEvents.def; docs/EVENTS.md is its catalogue.
#pragma once

#include <cstdint>
#include <json/value.h>
#include <span>
#include <string>
#include <string_view>

namespace berylridge {

enum class LogLevel : std::uint8_t { Info, Warning, Error, Retired };

enum class LogEventId : std::uint16_t {
#define BERYLRIDGE_EVENT(number, name, level, text) name = number,
#include "berylridge/Support/LogEvents.def"
#undef BERYLRIDGE_EVENT
};

/// The word used in logs and in the catalogue.
std::string_view logLevelName(LogLevel level);

/// One line of the catalogue.
struct LogEventInfo
{
    LogEventId id;
    std::string_view name;
    LogLevel level;
    std::string_view text;
};

/// One occurrence, as the decision core emits it.
struct LogRecord
{
    LogEventId id;
    std::string detail;       ///< For people, in words.
    std::string request = {}; ///< Id of the request that it touches; empty for other events.
    Json::Value fields = {};  ///< The inputs that decided and the outcome, by name; may be null.
};

/// The whole catalogue, by rising number.
std::span<const LogEventInfo> logEventCatalogue();

/// The catalogue line of an event.
const LogEventInfo &logEventInfo(LogEventId id);

} // namespace berylridge
