// Stores the active documents of one node by name. Versions only rise, and if a new document is
// invalid the previous one stays active.
#pragma once

#include "berylridge/Config/DocumentReader.h"
#include "berylridge/Config/Documents.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace berylridge {

enum class AcceptStatus : std::uint8_t {
    Accepted, ///< The document is active now.
    Stale,    ///< The active document is the same or newer; nothing changed.
    Refused,  ///< The document is invalid; nothing changed.
};

struct [[nodiscard]] AcceptResult
{
    AcceptStatus status = AcceptStatus::Stale;
    DocumentVersion from = 0;            ///< Previously active version; 0 if there was none.
    std::vector<Diagnostic> diagnostics; ///< Errors due to which the document was refused.
};

class DocumentStore
{
public:
    static constexpr std::string_view fleetName = "fleet";
    static constexpr std::string_view servicePrefix = "service/";

    /// Checks a document and makes it active if it is newer than the active one.
    AcceptResult accept(DocumentText document);

    /// Returns null if no such document is active.
    std::shared_ptr<const ServiceDocument> service(const ServiceId &name) const;
    /// Never returns null: without a document no zone is out of service and the version is 0.
    std::shared_ptr<const FleetDocument> fleet() const { return m_fleet; }
    /// Returns the documents of all active services in ascending order of name.
    std::vector<std::shared_ptr<const ServiceDocument>> services() const;

    /// Returns null if no such document is active.
    const DocumentText *text(std::string_view name) const;
    /// Returns all active documents in ascending order of name.
    const std::map<std::string, DocumentText, std::less<>> &texts() const { return m_texts; }
    /// Returns 0 if no such document is active.
    DocumentVersion version(std::string_view name) const;

    /// Returns a hash of all names and versions. It is equal on two nodes with the same active
    /// documents, and 0 if there are none.
    std::uint64_t digest() const { return m_digest; }

private:
    std::vector<Diagnostic> activateDocument(const DocumentText &document);
    std::vector<Diagnostic> readService(const DocumentText &document);
    std::vector<Diagnostic> readFleet(const DocumentText &document);
    void updateDigest();

    std::map<std::string, DocumentText, std::less<>> m_texts;
    std::map<ServiceId, std::shared_ptr<const ServiceDocument>> m_services;
    std::shared_ptr<const FleetDocument> m_fleet = std::make_shared<const FleetDocument>();
    std::uint64_t m_digest = 0;
};

} // namespace berylridge
