#include "berylridge/Net/JsonObject.h"

#include <json/reader.h>
#include <memory>
#include <string>

namespace berylridge {

std::optional<Json::Value> parseJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    try {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &errors)
            && value.isObject())
            return value;
    } catch (const Json::Exception &) {
        return std::nullopt; // The parser throws above its limit for nested values.
    }
    return std::nullopt;
}

} // namespace berylridge
