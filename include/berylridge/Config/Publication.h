// The publishing step apart from file access: converts source texts to checked documents.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// Suffix of the name of each source file.
inline constexpr std::string_view sourceSuffix = ".berylridge.json";
inline constexpr std::string_view fleetFileName = "fleet.berylridge.json";
inline constexpr std::string_view workspacesFileName = "workspaces.berylridge.json";

/// Maximum size of a value in the platform's configuration service.
inline constexpr std::size_t maxDocumentBytes = 1'000'000;

struct SourceFile
{
    std::string path;
    std::string text;
};

struct Publication
{
    /// In ascending order of name; versions are 0 until assignVersions() sets them.
    std::vector<DocumentText> documents;
    std::vector<std::string> warnings;
    std::vector<Diagnostic> diagnostics; ///< If there are any, nothing may be published.
};

/// Reads all source files and checks each of them as well as their consistency with each other.
Publication makePublication(std::span<const SourceFile> sources);

/// Documents by name.
using DocumentSet = std::map<std::string, DocumentText, std::less<>>;

/// Assigns each document the published version if its text is unchanged, otherwise the next
/// version.
void assignVersions(std::vector<DocumentText> &documents, const DocumentSet &published);

/// Keeps the higher version of each document in the set. If two texts have the same version, only
/// the version is kept and the text is cleared. The next publication then gets a higher version,
/// since nodes refuse a second text under a version that they know.
void mergeNewer(DocumentSet &into, DocumentText document);

} // namespace berylridge
