// Looks up description a catalog says of a request: its route, its workspace and its services.
#pragma once

#include "berylridge/Catalog/Catalog.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace berylridge {

/// Immutable; a request keeps the table that it was admitted under.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Catalog> catalog);

    const Catalog &catalog() const { return *m_catalog; }

    /// The route of that host with the longest prefix of the path; null where none matches. A query
    /// after the path and the host's case don't matter.
    const RouteSpec *route(std::string_view host, std::string_view path) const;
    /// Null for a credential that no workspace has.
    const WorkspaceSpec *workspaceForCredential(const std::string &credential) const;
    /// The same by the credential's shortHash().
    const WorkspaceSpec *workspaceForCredentialHash(std::uint32_t credentialHash) const;
    const ServiceSpec *service(const std::string &name) const;
    /// Whether callers of routes that aren't public need a credential.
    bool needsCredentials() const { return !m_catalog->workspaces.empty(); }

private:
    std::shared_ptr<const Catalog> m_catalog;
    std::unordered_map<std::string, const RouteSpec *> m_routes;         ///< By host and prefix.
    std::unordered_map<std::string, const WorkspaceSpec *> m_workspaces; ///< By credential.
    std::unordered_map<std::uint32_t, const WorkspaceSpec *> m_workspacesByHash;
    std::unordered_map<std::string, const ServiceSpec *> m_services;
};

} // namespace berylridge
