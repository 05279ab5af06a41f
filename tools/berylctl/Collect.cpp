// `berylctl collect`: checks the source files and writes the documents to publish.
#include "Command.h"
#include "Files.h"
#include "RouterClient.h"
#include "Sources.h"

#include "berylridge/CommandLine/CommandLine.h"
#include "berylridge/Config/DocumentWriter.h"

#include <filesystem>
#include <iostream>

namespace berylridge::ctl {

namespace {

ManPage collectManPage()
{
    return {
        "berylctl collect",
        "check service files and write the documents to publish",
        "Finds source files in and under each PATH, checks them alone and against each other, and\n"
        "writes one file {\"name\", \"version\", \"text\"} for each document. A version increases "
        "only\n"
        "if the text changed. Nothing is written if there is any error. Documents in the folder\n"
        "that no source describes are kept and reported in a warning.",
        {{"FILES", sourceFilesHelp}, {"EXAMPLES", "berylctl collect --out published services/"}}};
}

Expected<std::string> writeDocument(const std::string &folder, const DocumentText &document)
{
    return replaceFile(folder + "/" + documentFileName(document.name),
                       writeEnvelope(document) + "\n");
}

/// Writes the documents whose version changed. Returns false if a file could not be written.
bool writeChangedDocuments(const std::string &folder, const std::vector<DocumentText> &documents,
                           const DocumentSet &folderDocuments)
{
    std::size_t changed = 0;
    for (const auto &document : documents) {
        const auto found = folderDocuments.find(document.name);
        const auto previousVersion = found == folderDocuments.end() ? 0 : found->second.version;
        std::cout << document.name << ": version " << document.version;
        if (previousVersion == document.version) {
            std::cout << ", unchanged\n";
            continue;
        }
        std::cout << (previousVersion == 0 ? ", new\n"
                                           : ", was " + std::to_string(previousVersion) + "\n");
        if (const auto written = writeDocument(folder, document); !written) {
            printError(written.failureReason());
            return false;
        }
        ++changed;
    }
    std::cout << documents.size() << " documents, " << changed << " written\n";
    return true;
}

bool createFolder(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error)
        printError(folder + ": " + error.message());
    return !error;
}

void warnAboutOrphans(const std::vector<DocumentText> &documents, const DocumentSet &published)
{
    DocumentSet orphans = published;
    for (const auto &document : documents)
        orphans.erase(document.name);
    for (const auto &[name, document] : orphans) {
        std::cerr << "warning: " << name << " is published, but no source describes it; it stays "
                  << "active\n";
    }
}

} // namespace

int runCollect(int argc, Arguments argv)
{
    CommandLine line(collectManPage());
    TCLAP::ValueArg<std::string> out("o", "out", "the folder that documents are written to", true,
                                     "", "FOLDER", line.arguments());
    RouterClient client(line, false);
    TCLAP::UnlabeledMultiArg<std::string> paths("path", "folders and files to read", true, "PATH",
                                                line.arguments());
    if (const auto status = client.parse(argc, argv))
        return *status;
    auto publication = checkSources(paths.getValue());
    if (!publication)
        return exitErrorsFound;
    const auto folderDocuments = readDocuments(out.getValue());
    const auto published = publishedDocuments(out.getValue(), client);
    if (!folderDocuments || !published || !createFolder(out.getValue()))
        return exitErrorsFound;
    assignVersions(publication->documents, *published);
    warnAboutOrphans(publication->documents, *published);
    return writeChangedDocuments(out.getValue(), publication->documents, *folderDocuments)
        ? exitSuccess
        : exitErrorsFound;
}

} // namespace berylridge::ctl
