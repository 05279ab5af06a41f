#include "berylridge/Support/LogEvent.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace berylridge {

namespace {

constexpr auto catalogue = std::to_array<LogEventInfo>({
#define BERYLRIDGE_EVENT(number, name, level, text)                                                \
    {LogEventId::name, #name, LogLevel::level, text},
#include "berylridge/Support/LogEvents.def"
#undef BERYLRIDGE_EVENT
});

} // namespace

std::string_view logLevelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    case LogLevel::Retired:
        return "retired";
    }
    return "unknown";
}

std::span<const LogEventInfo> logEventCatalogue()
{
    return catalogue;
}

const LogEventInfo &logEventInfo(LogEventId id)
{
    const auto *found = std::lower_bound(
        catalogue.begin(), catalogue.end(), id,
        [](const LogEventInfo &info, LogEventId wanted) { return info.id < wanted; });
    assert(found != catalogue.end() && found->id == id && "event missing from the catalogue");
    return *found;
}

} // namespace berylridge
