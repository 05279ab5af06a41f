// Reads documents and reports all errors at once, each with its line and the allowed values.
#pragma once

#include "berylridge/Config/Documents.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// One error in a file, printed as "file:line: name: message".
struct Diagnostic
{
    std::string file;
    int line = 0;
    std::string name;    ///< Dotted path of the value, as in "targets[2].port".
    std::string message; ///< States what is allowed.

    std::string str() const;
};

/// The result of reading a text. It has a value only if there are no diagnostics.
template <typename T>
struct [[nodiscard]] ReadResult
{
    std::optional<T> value;
    std::vector<Diagnostic> diagnostics;
};

/// Reads the published text of a "service/<name>" document. It does not set the document's version,
/// which is part of the envelope.
ReadResult<ServiceDocument> readServiceDocument(std::string_view file, std::string_view text);

/// Reads the published text of the "fleet" document.
ReadResult<FleetDocument> readFleetDocument(std::string_view file, std::string_view text);

} // namespace berylridge
