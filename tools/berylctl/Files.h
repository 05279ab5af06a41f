// Files and folders of the publishing step.
#pragma once

#include "berylridge/Config/Publication.h"
#include "berylridge/Support/Expected.h"

#include <string>
#include <vector>

namespace berylridge::ctl {

Expected<std::string> readFile(const std::string &path);

/// Replaces the file whole or not at all, so that a reader never meets half a document.
Expected<std::string> replaceFile(const std::string &path, const std::string &text);

/// All source files in and under the given folders, by rising path; a path may be a file too.
/// Folders whose name begins with '.' are passed over.
Expected<std::vector<SourceFile>> findSources(const std::vector<std::string> &paths);

/// The documents of an output folder. A folder that is not there holds none.
Expected<DocumentSet> readDocuments(const std::string &folder);

/// The file that a document stands in, below its folder.
std::string documentFileName(const std::string &documentName);

} // namespace berylridge::ctl
