// Reads and writes JSON (comments allowed) by jsoncpp, with errors as values.
#pragma once

#include "berylridge/Support/Expected.h"

#include <json/json.h>
#include <string>
#include <string_view>

namespace berylridge {

/// The value of a JSON text; comments are allowed, anything after the value is not.
Expected<Json::Value> parseJson(std::string_view text);

/// Reads and parses a file; the reason names it.
Expected<Json::Value> parseJsonFile(const std::string &path);

/// On one line.
std::string toText(const Json::Value &value);

} // namespace berylridge
