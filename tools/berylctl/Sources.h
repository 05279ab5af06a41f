// Common parts of `collect` and `check`: a help text, and reading and checking all source files.
#pragma once

#include "berylridge/Config/Publication.h"

#include <optional>
#include <string>
#include <vector>

namespace berylridge::ctl {

inline const char *const sourceFilesHelp
    = "NAME.berylridge.json        a service; kept beside its code\n"
      "workspaces.berylridge.json  workspaces with the digests of their keys, and groups of them\n"
      "fleet.berylridge.json       zones that are out of service\n"
      "All are JSON with comments; docs/design/configuration.md explains their members.";

/// Reads and checks the source files and prints errors and warnings. Returns nullopt if there are
/// errors.
std::optional<Publication> checkSources(const std::vector<std::string> &paths);

/// Prints `berylctl: message` on standard error.
void printError(const std::string &message);

} // namespace berylridge::ctl
