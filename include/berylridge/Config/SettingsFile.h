// Loads a settings file for a program.
#pragma once

#include "berylridge/Config/Settings.h"

#include <iosfwd>
#include <optional>
#include <string>

namespace berylridge {

/// Every error of the file is written to problems, a line each.
std::optional<Settings> loadSettings(const std::string &path, std::ostream &problems);

} // namespace berylridge
