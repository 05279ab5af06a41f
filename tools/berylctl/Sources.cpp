// Reads and checks all sources, and prints what was found.
#include "Sources.h"

#include "Files.h"

#include <iostream>

namespace berylridge::ctl {

namespace {

std::string counted(std::size_t count, const std::string &noun)
{
    return std::to_string(count) + " " + noun + (count == 1 ? "" : "s");
}

} // namespace

std::optional<Publication> checkSources(const std::vector<std::string> &paths)
{
    const auto sources = findSources(paths);
    if (!sources) {
        complain(sources.failureReason());
        return std::nullopt;
    }
    if (sources->empty()) {
        complain("no file named *" + std::string(sourceSuffix) + " was found");
        return std::nullopt;
    }
    auto publication = makePublication(*sources);
    for (const auto &diagnostic : publication.diagnostics)
        std::cerr << diagnostic.str() << '\n';
    for (const auto &warning : publication.warnings)
        std::cerr << "warning: " << warning << '\n';
    if (!publication.diagnostics.empty()) {
        complain(counted(publication.diagnostics.size(), "error") + " in "
                 + counted(sources->size(), "file"));
        return std::nullopt;
    }
    return publication;
}

void complain(const std::string &message)
{
    std::cerr << "berylctl: " << message << '\n';
}

} // namespace berylridge::ctl
