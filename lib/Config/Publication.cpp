// Builds the documents of a publication and checks services against each other.
#include "berylridge/Config/Publication.h"

#include "berylridge/Config/DocumentStore.h"
#include "berylridge/Config/DocumentWriter.h"
#include "berylridge/Config/ServiceFile.h"
#include "berylridge/Support/Endpoint.h"

#include <algorithm>
#include <set>

namespace berylridge {

namespace {

std::string_view baseName(std::string_view path)
{
    const auto slash = path.rfind('/');
    return slash == std::string_view::npos ? path : path.substr(slash + 1);
}

class PublicationBuilder
{
public:
    explicit PublicationBuilder(std::span<const SourceFile> sources)
        : m_sources(sources)
    {
    }

    Publication run()
    {
        if (const auto *file = findUnique(workspacesFileName))
            m_workspaces
                = collect(readWorkspacesFile(file->path, file->text)).value_or(m_workspaces);
        for (const auto &source : m_sources) {
            const auto name = baseName(source.path);
            if (name != workspacesFileName && name != fleetFileName)
                addService(source);
        }
        addFleet();
        std::sort(m_publication.documents.begin(), m_publication.documents.end(),
                  [](const DocumentText &a, const DocumentText &b) { return a.name < b.name; });
        return std::move(m_publication);
    }

private:
    void report(const SourceFile &source, std::string message)
    {
        m_publication.diagnostics.push_back({source.path, 1, "", std::move(message)});
    }

    /// Returns the file of this name, or null if there is none. Reports each further one as an
    /// error.
    const SourceFile *findUnique(std::string_view name)
    {
        const SourceFile *found = nullptr;
        for (const auto &source : m_sources) {
            if (baseName(source.path) != name)
                continue;
            if (found)
                report(source, "a second " + std::string(name) + "; the first is " + found->path);
            else
                found = &source;
        }
        return found;
    }

    template <typename T>
    std::optional<T> collect(ReadResult<T> read)
    {
        auto &all = m_publication.diagnostics;
        all.insert(all.end(), read.diagnostics.begin(), read.diagnostics.end());
        return std::move(read.value);
    }

    void addService(const SourceFile &source)
    {
        const auto document = collect(readServiceFile(source.path, source.text, m_workspaces));
        if (!document)
            return;
        const auto name = document->service.str();
        const auto [earlier, isNew] = m_fileByService.emplace(name, source.path);
        if (!isNew) {
            report(source, "service " + name + " is described in " + earlier->second + " too");
            return;
        }
        for (const auto &target : document->targets)
            checkTarget(name, target);
        if (document->workspaces.empty())
            warn("service " + name + " has no workspaces: every caller will be refused");
        add(source, std::string(DocumentStore::servicePrefix) + name,
            writeServiceDocument(*document));
    }

    void checkTarget(const std::string &service, const TargetSpec &target)
    {
        m_zones.insert(target.zone);
        const auto endpoint = endpointText({target.address, target.port});
        const auto [earlier, isNew] = m_serviceByEndpoint.emplace(endpoint, service);
        if (!isNew) {
            warn("services " + earlier->second + " and " + service + " share the target at "
                 + endpoint + ": each counts its slots separately");
        }
    }

    void addFleet()
    {
        const auto *file = findUnique(fleetFileName);
        if (!file) {
            warn("no " + std::string(fleetFileName) + ": the fleet document is not changed");
            return;
        }
        const auto document = collect(readFleetDocument(file->path, file->text));
        if (!document)
            return;
        for (const auto &zone : document->zonesOut) {
            if (!m_zones.contains(zone))
                warn("zone " + zone.str()
                     + " is to be taken out of service, but no service has targets there");
        }
        add(*file, std::string(DocumentStore::fleetName), writeFleetDocument(*document));
    }

    void add(const SourceFile &source, std::string name, std::string text)
    {
        DocumentText document {std::move(name), 0, std::move(text)};
        const auto size = writeEnvelope(document).size();
        if (size > maxDocumentBytes) {
            report(source,
                   "makes a document of " + std::to_string(size) + " bytes; at most "
                       + std::to_string(maxDocumentBytes) + " are allowed");
        }
        m_publication.documents.push_back(std::move(document));
    }

    void warn(std::string text) { m_publication.warnings.push_back(std::move(text)); }

    std::span<const SourceFile> m_sources;
    Publication m_publication;
    WorkspacesFile m_workspaces;
    std::map<std::string, std::string> m_fileByService;
    std::map<std::string, std::string> m_serviceByEndpoint;
    std::set<ZoneId> m_zones;
};

} // namespace

Publication makePublication(std::span<const SourceFile> sources)
{
    return PublicationBuilder(sources).run();
}

void assignVersions(std::vector<DocumentText> &documents, const DocumentSet &published)
{
    for (auto &document : documents) {
        const auto found = published.find(document.name);
        if (found == published.end())
            document.version = 1;
        else
            document.version
                = found->second.version + (found->second.text == document.text ? 0 : 1);
    }
}

void mergeNewer(DocumentSet &into, DocumentText document)
{
    const auto [place, isNew] = into.try_emplace(document.name, document);
    if (isNew || place->second.version > document.version)
        return;
    if (place->second.version < document.version)
        place->second = std::move(document);
    else if (place->second.text != document.text)
        place->second.text.clear();
}

} // namespace berylridge
