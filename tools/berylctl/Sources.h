// What `collect` and `check` have in common: their options, and reading and checking all sources.
#pragma once

#include "berylridge/Config/Publication.h"

#include <optional>
#include <string>
#include <vector>

namespace berylridge::ctl {

inline const char *const sourceFilesHelp
    = "NAME.berylridge.json        a service; stands beside its code\n"
      "workspaces.berylridge.json  workspaces with the digests of their keys, and groups of them\n"
      "fleet.berylridge.json       zones that are out of service\n"
      "All are JSON with comments; docs/design/configuration.md tells their names.";

/// Reads and checks the sources; prints errors and warnings. None where there are errors.
std::optional<Publication> checkSources(const std::vector<std::string> &paths);

/// Prints a message as `berylctl: message` on standard error.
void printError(const std::string &message);

} // namespace berylridge::ctl
