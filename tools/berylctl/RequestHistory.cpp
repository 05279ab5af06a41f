#include "RequestHistory.h"

#include <algorithm>
#include <initializer_list>
#include <istream>
#include <json/reader.h>
#include <json/value.h>
#include <json/writer.h>
#include <memory>
#include <ostream>

namespace berylridge::ctl {

namespace {

/// Parses the JSON object of a log line. A log collector may have put a prefix before it. Returns
/// null if there is no object.
Json::Value parseLogRecord(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos)
        return {};
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value record;
    const char *text = line.data() + begin;
    if (!reader->parse(text, line.data() + line.size(), &record, nullptr) || !record.isObject())
        return {};
    return record;
}

std::string valueText(const Json::Value &value)
{
    if (value.isString())
        return value.asString();
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// Formats the members as "name value" pairs, without the excluded ones.
std::string memberText(const Json::Value &object, std::initializer_list<const char *> excluded)
{
    std::string text;
    for (const std::string &name : object.getMemberNames()) {
        if (std::find(excluded.begin(), excluded.end(), name) != excluded.end())
            continue;
        text += (text.empty() ? "" : ", ") + name + " " + valueText(object[name]);
    }
    return text;
}

std::string describe(const Json::Value &record)
{
    std::string text = record["time"].asString() + " " + record["outcome"].asString();
    if (record.isMember("type"))
        text += " as " + record["type"].asString();
    text += ": "
        + memberText(record,
                     {"time", "outcome", "type", "steps", "request", "level", "event", "name"})
        + "\n";
    for (const Json::Value &step : record["steps"])
        text += "  at " + valueText(step["atMs"]) + " ms " + step["step"].asString() + ": "
            + memberText(step, {"atMs", "step"}) + "\n";
    return text;
}

} // namespace

void RequestHistory::read(std::istream &log)
{
    std::string line;
    while (std::getline(log, line)) {
        if (line.find(m_requestId) == std::string::npos)
            continue;
        const Json::Value record = parseLogRecord(line);
        if (record["request"] == m_requestId)
            m_descriptions.emplace(record["time"].asString(), describe(record));
    }
}

bool RequestHistory::print(std::ostream &out) const
{
    for (const auto &[time, text] : m_descriptions)
        out << text;
    return !m_descriptions.empty();
}

} // namespace berylridge::ctl
