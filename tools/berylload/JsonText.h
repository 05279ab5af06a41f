// Reads and writes JSON by jsoncpp and returns errors as values. Comments are allowed in the input.
#pragma once

#include "berylridge/Support/Expected.h"

#include <json/json.h>
#include <string>
#include <string_view>

namespace berylridge {

/// Parses a JSON text. Comments are allowed; text after the value is an error.
Expected<Json::Value> parseJson(std::string_view text);

/// Reads and parses a file. The reason of a failure names the file.
Expected<Json::Value> parseJsonFile(const std::string &path);

/// Writes a value on one line.
std::string toText(const Json::Value &value);

} // namespace berylridge
