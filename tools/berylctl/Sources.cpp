// Reads and checks all source files and prints their errors and warnings.
#include "Sources.h"

#include "Files.h"

#include <iostream>

namespace berylridge::ctl {

namespace {

std::string countText(std::size_t count, const std::string &noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

} // namespace

std::optional<Publication> checkSources(const std::vector<std::string> &paths)
{
    const auto sources = findSources(paths);
    if (!sources) {
        printError(sources.failureReason());
        return std::nullopt;
    }
    if (sources->empty()) {
        printError("no file named *" + std::string(sourceSuffix) + " was found");
        return std::nullopt;
    }
    auto publication = makePublication(*sources);
    for (const auto &diagnostic : publication.diagnostics)
        std::cerr << diagnostic.str() << '\n';
    for (const auto &warning : publication.warnings)
        std::cerr << "warning: " << warning << '\n';
    if (!publication.diagnostics.empty()) {
        printError(countText(publication.diagnostics.size(), "error") + " in "
                   + countText(sources->size(), "file"));
        return std::nullopt;
    }
    return publication;
}

void printError(const std::string &message)
{
    std::cerr << "berylctl: " << message << '\n';
}

} // namespace berylridge::ctl
