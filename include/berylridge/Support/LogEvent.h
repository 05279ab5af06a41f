// Numbered log events. Support/LogEvents.def lists them, and docs/EVENTS.md is generated from it.
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

/// Returns the name of the level in log lines and in the catalogue.
std::string_view logLevelName(LogLevel level);

/// An event's entry in the catalogue.
struct LogEventInfo
{
    LogEventId id;
    std::string_view name;
    LogLevel level;
    std::string_view text;
};

/// One occurrence of an event, as the decision core emits it.
struct LogRecord
{
    LogEventId id;
    std::string detail;       ///< Human-readable text.
    std::string request = {}; ///< Id of the request concerned; empty if there is none.
    Json::Value fields = {};  ///< Inputs and outcome of the decision, by name; may be null.
};

/// Returns the whole catalogue in ascending order of number.
std::span<const LogEventInfo> logEventCatalogue();

/// Returns an event's entry in the catalogue.
const LogEventInfo &logEventInfo(LogEventId id);

} // namespace berylridge
