// Reads and writes files with std::filesystem. Errors are returned; no exception leaves this file.
#include "Files.h"

#include "berylridge/Config/DocumentWriter.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace berylridge::ctl {

namespace {

namespace fs = std::filesystem;

bool isSource(const fs::path &path)
{
    return path.filename().string().ends_with(sourceSuffix);
}

Expected<std::vector<std::string>> listSources(const std::string &folder)
{
    std::vector<std::string> found;
    std::error_code error;
    fs::recursive_directory_iterator entry(folder, error);
    while (!error && entry != fs::recursive_directory_iterator()) {
        const auto &path = entry->path();
        if (entry->is_directory(error) && path.filename().string().starts_with('.'))
            entry.disable_recursion_pending();
        else if (!error && entry->is_regular_file(error) && isSource(path))
            found.push_back(path.string());
        entry.increment(error);
    }
    if (error)
        return Reason {folder + ": " + error.message()};
    return found;
}

Expected<std::vector<std::string>> listPath(const std::string &path)
{
    std::error_code error;
    if (fs::is_regular_file(path, error))
        return std::vector {path};
    return listSources(path);
}

} // namespace

Expected<std::string> readFile(const std::string &path)
{
    std::error_code error;
    if (!fs::is_regular_file(path, error))
        return Reason {path + ": no such file"};
    std::ifstream in(path, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return Reason {path + ": can't be read"};
    return text.str();
}

Expected<std::string> replaceFile(const std::string &path, const std::string &text)
{
    const auto temporaryPath = path + ".new";
    std::ofstream out(temporaryPath, std::ios::binary | std::ios::trunc);
    out << text;
    out.close();
    if (!out)
        return Reason {temporaryPath + ": can't be written"};
    std::error_code error;
    fs::rename(temporaryPath, path, error);
    if (error)
        return Reason {path + ": " + error.message()};
    return path;
}

Expected<std::vector<SourceFile>> findSources(const std::vector<std::string> &paths)
{
    std::vector<std::string> names;
    for (const auto &path : paths) {
        const auto found = listPath(path);
        if (!found)
            return Reason {found.failureReason()};
        names.insert(names.end(), found->begin(), found->end());
    }
    // Overlapping folders list a file twice, which would make its service conflict with itself.
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    std::vector<SourceFile> sources;
    for (const auto &name : names) {
        auto text = readFile(name);
        if (!text)
            return Reason {text.failureReason()};
        sources.push_back({name, *std::move(text)});
    }
    return sources;
}

Expected<DocumentSet> readDocuments(const std::string &folder)
{
    DocumentSet documents;
    std::error_code error;
    if (!fs::exists(folder, error))
        return documents;
    for (fs::directory_iterator entry(folder, error); !error && entry != fs::directory_iterator();
         entry.increment(error)) {
        if (entry->path().extension() != ".json")
            continue;
        const auto path = entry->path().string();
        const auto text = readFile(path);
        if (!text)
            return Reason {text.failureReason()};
        auto read = readEnvelope(path, *text);
        if (!read.value)
            return Reason {read.diagnostics.front().str()};
        mergeNewer(documents, *std::move(read.value));
    }
    if (error)
        return Reason {folder + ": " + error.message()};
    return documents;
}

std::string documentFileName(const std::string &documentName)
{
    auto name = documentName + ".json";
    std::replace(name.begin(), name.end(), '/', '-');
    return name;
}

} // namespace berylridge::ctl
