// The documents in force on one node, by name. Versions only rise, and a document that can't be
// read leaves the last good one in force.
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
    Accepted, ///< In force now.
    Stale,    ///< The same as, or older than, what is in force; nothing changed.
    Refused,  ///< Not acceptable; nothing changed.
};

struct [[nodiscard]] AcceptResult
{
    AcceptStatus status = AcceptStatus::Stale;
    DocumentVersion from = 0;            ///< In force before; 0 where there was none.
    std::vector<Diagnostic> diagnostics; ///< Why it was refused.
};

class DocumentStore
{
public:
    static constexpr std::string_view fleetName = "fleet";
    static constexpr std::string_view servicePrefix = "service/";

    /// Checks a document and puts it into force where it is newer.
    AcceptResult accept(DocumentText document);

    /// Null where no such document is in force.
    std::shared_ptr<const ServiceDocument> service(const ServiceId &name) const;
    /// Never null: without a document no zone is out and the version is 0.
    std::shared_ptr<const FleetDocument> fleet() const { return m_fleet; }
    /// All services in force, by rising name.
    std::vector<std::shared_ptr<const ServiceDocument>> services() const;

    /// Null where no such document is in force.
    const DocumentText *text(std::string_view name) const;
    /// All documents in force, by rising name.
    const std::map<std::string, DocumentText, std::less<>> &texts() const { return m_texts; }
    /// 0 where no such document is in force.
    DocumentVersion version(std::string_view name) const;

    /// Over all names and versions; equal on two nodes that have the same in force. 0 for none.
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
