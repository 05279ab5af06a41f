// The publishing step without its files and folders: source texts in, checked documents out.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// What a name of each source file ends in.
inline constexpr std::string_view sourceSuffix = ".berylridge.json";
inline constexpr std::string_view fleetFileName = "fleet.berylridge.json";
inline constexpr std::string_view workspacesFileName = "workspaces.berylridge.json";

/// The platform's service holds values up to this size.
inline constexpr std::size_t maxDocumentBytes = 1'000'000;

struct SourceFile
{
    std::string path;
    std::string text;
};

struct Publication
{
    std::vector<DocumentText> documents; ///< By rising name; versions are 0 until they are given.
    std::vector<std::string> warnings;
    std::vector<Diagnostic> diagnostics; ///< With any, nothing may be published.
};

/// Reads all source files and checks them alone and against each other.
Publication makePublication(std::span<const SourceFile> sources);

/// Documents by name.
using DocumentSet = std::map<std::string, DocumentText, std::less<>>;

/// Gives each document the published version where its text is the same, else the next one.
void assignVersions(std::vector<DocumentText> &documents, const DocumentSet &published);

/// Keeps the higher version of each document in the set. Of two texts under one version neither is
/// kept, only the version: whatever is published next must rise above both, since nodes refuse a
/// second text under a version that they know.
void mergeNewer(DocumentSet &into, DocumentText document);

} // namespace berylridge
