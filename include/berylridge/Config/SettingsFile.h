// Loads a settings file for a program.
#pragma once

#include "berylridge/Config/Settings.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace berylridge {

/// Loads a settings file. Writes each of its errors to problems as one line, and returns nothing if
/// there is one.
std::optional<Settings> loadSettings(const std::string &path, std::ostream &problems);

} // namespace berylridge
