// Reads source files and documents, and writes documents.
#pragma once

#include "berylridge/Config/Publication.h"
#include "berylridge/Support/Expected.h"

#include <string>
#include <vector>

namespace berylridge::ctl {

Expected<std::string> readFile(const std::string &path);

/// Replaces the file atomically, so that a reader never sees an incomplete document.
Expected<std::string> replaceFile(const std::string &path, const std::string &text);

/// Returns all source files in and under the given folders, sorted by path; a path may also be a
/// file. Skips folders whose name begins with '.'.
Expected<std::vector<SourceFile>> findSources(const std::vector<std::string> &paths);

/// Returns the documents of an output folder, none if the folder doesn't exist.
Expected<DocumentSet> readDocuments(const std::string &folder);

/// Returns the name of a document's file in its folder.
std::string documentFileName(const std::string &documentName);

} // namespace berylridge::ctl
