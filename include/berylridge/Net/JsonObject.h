// Parses JSON that other processes send.
#pragma once

#include <json/value.h>
#include <optional>
#include <string_view>

namespace berylridge {

/// Returns nothing if the text is not a JSON object, or is nested too deeply.
std::optional<Json::Value> parseJsonObject(std::string_view text);

} // namespace berylridge
