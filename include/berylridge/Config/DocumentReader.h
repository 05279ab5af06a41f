// Reads documents and reports every error at once, each with its line and what is allowed.
#pragma once

#include "berylridge/Config/Documents.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

/// One error in a file: printed as "file:line: name: message".
struct Diagnostic
{
    std::string file;
    int line = 0;
    std::string name;    ///< Dotted path of the value, as in "targets[2].port".
    std::string message; ///< Says what is allowed.

    std::string str() const;
};

/// What a reader made of a text. There is a value only where there are no diagnostics.
template <typename T>
struct [[nodiscard]] ReadResult
{
    std::optional<T> value;
    std::vector<Diagnostic> diagnostics;
};

/// Reads the text of a "service/<name>" document, as published. The document's version comes from
/// the envelope, not from the text.
ReadResult<ServiceDocument> readServiceDocument(std::string_view file, std::string_view text);

/// Reads the text of the "fleet" document, as published.
ReadResult<FleetDocument> readFleetDocument(std::string_view file, std::string_view text);

} // namespace berylridge
