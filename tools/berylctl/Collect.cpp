// `berylctl collect`: the publishing step.
#include "Command.h"
#include "Files.h"
#include "Remote.h"
#include "Sources.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Config/DocumentWriter.h"

#include <filesystem>
#include <iostream>

namespace berylridge::ctl {

namespace {

ManPage collectPage()
{
    return {
        "berylctl collect",
        "check service files and write the documents to publish",
        "Finds source files in and under each PATH, checks them alone and against each other, and\n"
        "writes one file {\"name\", \"version\", \"text\"} for each document. A version rises only "
        "where\n"
        "the text changed. With any error nothing is written. Documents in the folder that no "
        "source\n"
        "describes stay, and are named in a warning.",
        {{"FILES", sourceFilesHelp}, {"EXAMPLES", "berylctl collect --out published services/"}}};
}

Expected<std::string> writeDocument(const std::string &folder, const DocumentText &document)
{
    return replaceFile(folder + "/" + documentFileName(document.name),
                       writeEnvelope(document) + "\n");
}

/// False where a file could not be written.
bool writeChanged(const std::string &folder, const std::vector<DocumentText> &documents,
                  const DocumentSet &inFolder)
{
    std::size_t changed = 0;
    for (const auto &document : documents) {
        const auto found = inFolder.find(document.name);
        const auto before = found == inFolder.end() ? 0 : found->second.version;
        std::cout << document.name << ": version " << document.version;
        if (before == document.version) {
            std::cout << ", unchanged\n";
            continue;
        }
        std::cout << (before == 0 ? ", new\n" : ", was " + std::to_string(before) + "\n");
        if (const auto written = writeDocument(folder, document); !written) {
            complain(written.failureReason());
            return false;
        }
        ++changed;
    }
    std::cout << documents.size() << " documents, " << changed << " written\n";
    return true;
}

bool makeFolder(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        complain(folder + ": " + error.message());
    return !error;
}

void warnOfOrphans(const std::vector<DocumentText> &documents, const DocumentSet &published)
{
    DocumentSet orphans = published;
    for (const auto &document : documents)
        orphans.erase(document.name);
    for (const auto &[name, document] : orphans) {
        std::cerr << "warning: " << name
                  << " is published, but no source describes it; it stays in "
                  << "force\n";
    }
}

} // namespace

int runCollect(int argc, Arguments argv)
{
    CommandLine line(collectPage());
    TCLAP::ValueArg<std::string> out("o", "out", "the folder that documents are written to", true,
                                     "", "FOLDER", line.arguments());
    Remote remote(line, false);
    TCLAP::UnlabeledMultiArg<std::string> paths("path", "folders and files to read", true, "PATH",
                                                line.arguments());
    if (const auto status = remote.parse(argc, argv))
        return *status;
    auto publication = checkSources(paths.getValue());
    if (!publication)
        return exitErrorsFound;
    const auto inFolder = readDocuments(out.getValue());
    const auto published = publishedDocuments(out.getValue(), remote);
    if (!inFolder || !published || !makeFolder(out.getValue()))
        return exitErrorsFound;
    assignVersions(publication->documents, *published);
    warnOfOrphans(publication->documents, *published);
    return writeChanged(out.getValue(), publication->documents, *inFolder) ? exitSuccess
                                                                           : exitErrorsFound;
}

} // namespace berylridge::ctl
