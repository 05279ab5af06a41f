// Looks up the catalog entries of a request: its route, its workspace and its services.
#pragma once

#include "berylridge/Catalog/Catalog.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace berylridge {

/// Indexes one catalog version. Immutable; a request keeps the table under which it was admitted.
class RouteTable
{
public:
    explicit RouteTable(std::shared_ptr<const Catalog> catalog);

    const Catalog &catalog() const { return *m_catalog; }

    /// Returns the route of the host with the longest matching path prefix, or null. Ignores the
    /// query after the path and the case of the host.
    const RouteSpec *route(std::string_view host, std::string_view path) const;
    /// Returns the workspace that owns the credential, or null.
    const WorkspaceSpec *workspaceForCredential(const std::string &credential) const;
    /// Does the same for the credential's hash32().
    const WorkspaceSpec *workspaceForCredentialHash(std::uint32_t credentialHash) const;
    const ServiceSpec *service(const std::string &name) const;
    /// Returns the longest timeout of the routes with streams; 0 if there are none.
    Duration longestStreamTimeout() const { return m_longestStreamTimeout; }
    /// Returns whether callers of non-public routes need a credential.
    bool needsCredentials() const { return !m_catalog->workspaces.empty(); }

private:
    std::shared_ptr<const Catalog> m_catalog;
    std::unordered_map<std::string, const RouteSpec *> m_routes; ///< Keyed by host and path prefix.
    std::unordered_map<std::string, const WorkspaceSpec *> m_workspaces; ///< Keyed by credential.
    std::unordered_map<std::uint32_t, const WorkspaceSpec *> m_workspacesByHash;
    std::unordered_map<std::string, const ServiceSpec *> m_services;
    Duration m_longestStreamTimeout {0};
};

} // namespace berylridge
