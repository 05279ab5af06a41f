// Formats diagnostics.
#include "berylridge/Config/DocumentReader.h"

namespace berylridge {

std::string Diagnostic::str() const
{
    std::string text = file + ":" + std::to_string(line) + ": ";
    if (!name.empty())
        text += name + ": ";
    return text + message;
}

} // namespace berylridge
