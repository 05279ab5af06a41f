// Writes documents in their published form. Equal documents always produce the same bytes, so that
// a version only rises if something has changed.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <string>
#include <string_view>

namespace berylridge {

std::string writeServiceDocument(const ServiceDocument &document);
std::string writeFleetDocument(const FleetDocument &document);

/// Writes a document in its envelope {"name", "version", "text"}, the form that the platform
/// serves.
std::string writeEnvelope(const DocumentText &document);
/// Reads an envelope without checking the text in it.
ReadResult<DocumentText> readEnvelope(std::string_view file, std::string_view text);

} // namespace berylridge
