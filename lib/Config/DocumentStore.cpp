// Decides which documents become active on this node.
#include "berylridge/Config/DocumentStore.h"

#include "berylridge/Support/Hash.h"

namespace berylridge {

namespace {

Diagnostic makeDiagnostic(const DocumentText &document, std::string name, std::string message)
{
    return {document.name, 1, std::move(name), std::move(message)};
}

} // namespace

AcceptResult DocumentStore::accept(DocumentText document)
{
    const DocumentText *current = text(document.name);
    AcceptResult result {AcceptStatus::Stale, current ? current->version : 0, {}};
    if (document.version == 0) {
        result.status = AcceptStatus::Refused;
        result.diagnostics = {makeDiagnostic(document, "version", "must be at least 1")};
        return result;
    }
    // If nodes accepted two texts under one version, they would apply different rules that each
    // considers current, and no later message would correct that. So the first text stays active,
    // and the operator must raise the version.
    if (current && document.version == current->version && document.text != current->text) {
        result.status = AcceptStatus::Refused;
        result.diagnostics = {makeDiagnostic(document, "version",
                                             "a different text is active under the same version")};
        return result;
    }
    if (current && document.version <= current->version)
        return result;
    result.diagnostics = activateDocument(document);
    if (!result.diagnostics.empty()) {
        result.status = AcceptStatus::Refused;
        return result;
    }
    result.status = AcceptStatus::Accepted;
    auto name = document.name;
    m_texts.insert_or_assign(std::move(name), std::move(document));
    updateDigest();
    return result;
}

std::shared_ptr<const ServiceDocument> DocumentStore::service(const ServiceId &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<const ServiceDocument>> DocumentStore::services() const
{
    std::vector<std::shared_ptr<const ServiceDocument>> all;
    all.reserve(m_services.size());
    for (const auto &[name, document] : m_services)
        all.push_back(document);
    return all;
}

const DocumentText *DocumentStore::text(std::string_view name) const
{
    const auto found = m_texts.find(name);
    return found == m_texts.end() ? nullptr : &found->second;
}

DocumentVersion DocumentStore::version(std::string_view name) const
{
    const auto *found = text(name);
    return found ? found->version : 0;
}

std::vector<Diagnostic> DocumentStore::activateDocument(const DocumentText &document)
{
    if (document.name == fleetName)
        return readFleet(document);
    if (document.name.starts_with(servicePrefix))
        return readService(document);
    return {makeDiagnostic(document, "name", R"(must be "fleet" or "service/NAME")")};
}

std::vector<Diagnostic> DocumentStore::readService(const DocumentText &document)
{
    auto read = readServiceDocument(document.name, document.text);
    if (!read.value)
        return std::move(read.diagnostics);
    const auto wanted = document.name.substr(servicePrefix.size());
    if (read.value->service.str() != wanted)
        return {makeDiagnostic(document, "service",
                               "must be \"" + wanted + "\", as the document's name says")};
    read.value->version = document.version;
    const auto service = read.value->service;
    m_services[service] = std::make_shared<const ServiceDocument>(*std::move(read.value));
    return {};
}

std::vector<Diagnostic> DocumentStore::readFleet(const DocumentText &document)
{
    auto read = readFleetDocument(document.name, document.text);
    if (!read.value)
        return std::move(read.diagnostics);
    read.value->version = document.version;
    m_fleet = std::make_shared<const FleetDocument>(*std::move(read.value));
    return {};
}

void DocumentStore::updateDigest()
{
    std::uint64_t digest = 0;
    for (const auto &[name, document] : m_texts)
        digest = hash64(name, hash64(std::to_string(document.version), digest));
    m_digest = digest;
}

} // namespace berylridge
