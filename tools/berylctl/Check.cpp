// `berylctl check`: the checks of `collect` without writing, and what a publication would change.
#include "Command.h"
#include "Files.h"
#include "Remote.h"
#include "Sources.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Config/Difference.h"
#include "berylridge/Config/DocumentStore.h"

#include <iostream>

namespace berylridge::ctl {

namespace {

ManPage checkPage()
{
    return {
        "berylctl check",
        "check service files and show what publishing them would change",
        "Reports every error in the source files at once, each with its file, line and what is\n"
        "allowed. With --against, prints what would change against the documents of that folder,\n"
        "and warns where a workspace's share or a service's slots would be cut.",
        {{"FILES", sourceFilesHelp},
         {"EXAMPLES", "berylctl check services/\nberylctl check --against published services/"}}};
}

Difference compareTexts(const DocumentText &inForce, const DocumentText &next, double maxShareCut)
{
    if (next.name == DocumentStore::fleetName) {
        const auto before = readFleetDocument(inForce.name, inForce.text);
        const auto after = readFleetDocument(next.name, next.text);
        if (before.value && after.value)
            return compareFleets(*before.value, *after.value);
    } else {
        const auto before = readServiceDocument(inForce.name, inForce.text);
        const auto after = readServiceDocument(next.name, next.text);
        if (before.value && after.value)
            return compareServices(*before.value, *after.value, maxShareCut);
    }
    return {{}, {"the document in force can't be read by this release"}};
}

void printDifference(const std::string &name, const Difference &difference)
{
    for (const auto &change : difference.changes)
        std::cout << name << ": " << change << '\n';
    for (const auto &warning : difference.warnings)
        std::cout << name << ": warning: " << warning << '\n';
}

void compareWith(const DocumentSet &published, const std::vector<DocumentText> &documents,
                 double maxShareCut)
{
    std::size_t changed = 0;
    for (const auto &document : documents) {
        const auto found = published.find(document.name);
        if (found == published.end())
            std::cout << document.name << ": new\n";
        else if (found->second.text != document.text)
            printDifference(document.name, compareTexts(found->second, document, maxShareCut));
        else
            continue;
        ++changed;
    }
    std::cout << documents.size() << " documents, " << changed << " would change\n";
}

} // namespace

int runCheck(int argc, Arguments argv)
{
    CommandLine line(checkPage());
    TCLAP::ValueArg<std::string> against("a", "against", "a folder of documents to compare with",
                                         false, "", "FOLDER", line.arguments());
    TCLAP::ValueArg<double> maxShareCut("", "allowed-cut",
                                        "the part of its share that a workspace may lose without a "
                                        "warning; 0.1 without this option",
                                        false, 0.1, "PART", line.arguments());
    Remote remote(line, false);
    TCLAP::UnlabeledMultiArg<std::string> paths("path", "folders and files to read", true, "PATH",
                                                line.arguments());
    if (const auto status = remote.parse(argc, argv))
        return *status;
    const auto publication = checkSources(paths.getValue());
    if (!publication)
        return exitErrorsFound;
    if (!against.isSet() && remote.routers().empty()) {
        std::cout << publication->documents.size() << " documents, no errors\n";
        return exitSuccess;
    }
    const auto published = publishedDocuments(against.getValue(), remote);
    if (!published)
        return exitErrorsFound;
    compareWith(*published, publication->documents, maxShareCut.getValue());
    return exitSuccess;
}

} // namespace berylridge::ctl
