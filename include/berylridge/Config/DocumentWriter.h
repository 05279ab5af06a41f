// Writes documents as they are published: the same value always gives the same bytes, so that a
// version rises only where something changed.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <string>
#include <string_view>

namespace berylridge {

std::string writeServiceDocument(const ServiceDocument &document);
std::string writeFleetDocument(const FleetDocument &document);

/// A document in its envelope {"name", "version", "text"}, as the platform serves it.
std::string writeEnvelope(const DocumentText &document);
/// Reads an envelope; the text in it is not looked at.
ReadResult<DocumentText> readEnvelope(std::string_view file, std::string_view text);

} // namespace berylridge
