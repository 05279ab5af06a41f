#include "berylridge/Config/SettingsFile.h"

#include <fstream>
#include <ostream>
#include <sstream>

namespace berylridge {

std::optional<Settings> loadSettings(const std::string &path, std::ostream &problems)
{
    std::ifstream file(path);
    if (!file) {
        problems << path << ": cannot be read\n";
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    ReadResult<Settings> result = readSettings(path, text.str());
    for (const Diagnostic &diagnostic : result.diagnostics)
        problems << diagnostic.str() << '\n';
    return result.value;
}

} // namespace berylridge
