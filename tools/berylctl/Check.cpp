// `berylctl check`: runs the checks of `collect` without writing and prints what publishing would
// change.
#include "Command.h"
#include "Files.h"
#include "RouterClient.h"
#include "Sources.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Config/Difference.h"
#include "berylridge/Config/DocumentStore.h"

#include <iostream>

namespace berylridge::ctl {

namespace {

ManPage checkManPage()
{
    return {
        "berylctl check",
        "check service files and show what publishing them would change",
        "Reports every error in the source files at once, each with its file, line and what is\n"
        "allowed. With --against, prints what would change against the documents of that folder,\n"
        "and warns if a workspace's share or a service's slots would be reduced.",
        {{"FILES", sourceFilesHelp},
         {"EXAMPLES", "berylctl check services/\nberylctl check --against published services/"}}};
}

Difference compareDocuments(const DocumentText &active, const DocumentText &proposed,
                            double maxShareCut)
{
    if (proposed.name == DocumentStore::fleetName) {
        const auto before = readFleetDocument(active.name, active.text);
        const auto after = readFleetDocument(proposed.name, proposed.text);
        if (before.value && after.value)
            return compareFleets(*before.value, *after.value);
    } else {
        const auto before = readServiceDocument(active.name, active.text);
        const auto after = readServiceDocument(proposed.name, proposed.text);
        if (before.value && after.value)
            return compareServices(*before.value, *after.value, maxShareCut);
    }
    return {{}, {"the active document can't be read by this release"}};
}

void printDifference(const std::string &name, const Difference &difference)
{
    for (const auto &change : difference.changes)
        std::cout << name << ": " << change << '\n';
    for (const auto &warning : difference.warnings)
        std::cout << name << ": warning: " << warning << '\n';
}

void printComparison(const DocumentSet &published, const std::vector<DocumentText> &documents,
                     double maxShareCut)
{
    std::size_t changed = 0;
    for (const auto &document : documents) {
        const auto found = published.find(document.name);
        if (found == published.end())
            std::cout << document.name << ": new\n";
        else if (found->second.text != document.text)
            printDifference(document.name, compareDocuments(found->second, document, maxShareCut));
        else
            continue;
        ++changed;
    }
    std::cout << documents.size() << " documents, " << changed << " would change\n";
}

} // namespace

int runCheck(int argc, Arguments argv)
{
    CommandLine line(checkManPage());
    TCLAP::ValueArg<std::string> against("a", "against", "a folder of documents to compare with",
                                         false, "", "FOLDER", line.arguments());
    TCLAP::ValueArg<double> maxShareCut("", "allowed-cut",
                                        "the part of its share that a workspace may lose without a "
                                        "warning; 0.1 by default",
                                        false, 0.1, "PART", line.arguments());
    RouterClient client(line, false);
    TCLAP::UnlabeledMultiArg<std::string> paths("path", "folders and files to read", true, "PATH",
                                                line.arguments());
    if (const auto status = client.parse(argc, argv))
        return *status;
    const auto publication = checkSources(paths.getValue());
    if (!publication)
        return exitErrorsFound;
    if (!against.isSet() && client.routers().empty()) {
        std::cout << publication->documents.size() << " documents, no errors\n";
        return exitSuccess;
    }
    const auto published = publishedDocuments(against.getValue(), client);
    if (!published)
        return exitErrorsFound;
    printComparison(*published, publication->documents, maxShareCut.getValue());
    return exitSuccess;
}

} // namespace berylridge::ctl
