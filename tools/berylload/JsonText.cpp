#include "JsonText.h"

#include <fstream>
#include <memory>
#include <sstream>

namespace berylridge {

Expected<Json::Value> parseJson(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["failIfExtra"] = true;
    builder["rejectDupKeys"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
        return Reason {errors};
    return value;
}

Expected<Json::Value> parseJsonFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        return Reason {path + ": cannot be read"};
    std::ostringstream text;
    text << file.rdbuf();
    auto value = parseJson(text.str());
    if (!value)
        return Reason {path + ": " + value.failureReason()};
    return value;
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = 9;
    return Json::writeString(builder, value);
}

} // namespace berylridge
