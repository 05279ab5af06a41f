#include "LogLine.h"

#include <array>
#include <ctime>
#include <json/writer.h>

namespace berylridge {

namespace {

std::string formatTime(WallTime time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    const std::time_t wholeSeconds = seconds.time_since_epoch().count();
    std::tm parts {};
    gmtime_r(&wholeSeconds, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto ms = std::to_string((time - seconds).count());
    return std::string(text.data()) + '.' + std::string(3 - ms.size(), '0') + ms + 'Z';
}

const Json::StreamWriterBuilder &compactWriter()
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        writer["precision"] = 6;
        return writer;
    }();
    return builder;
}

void append(std::string &line, std::string_view name, const std::string &text)
{
    line.append(",\"").append(name).append("\":").append(Json::valueToQuotedString(text.c_str()));
}

} // namespace

std::string formatLogLine(const LogRecord &record, WallTime time)
{
    const LogEventInfo &info = logEventInfo(record.id);
    std::string line = "{\"time\":\"" + formatTime(time) + "\",\"level\":\"";
    line.append(logLevelName(info.level)).append("\",\"event\":");
    line.append(std::to_string(static_cast<unsigned>(info.id)));
    line.append(",\"name\":\"").append(info.name).append("\"");
    if (!record.request.empty())
        append(line, "request", record.request);
    if (!record.detail.empty())
        append(line, "detail", record.detail);
    if (record.fields.isObject() && !record.fields.empty()) {
        const std::string fields = Json::writeString(compactWriter(), record.fields);
        line.append(",").append(fields, 1, fields.size() - 2); // Skips the enclosing braces.
    }
    return line + '}';
}

} // namespace berylridge
