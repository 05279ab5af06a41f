#include "berylridge/Catalog/RouteTable.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <cctype>

namespace berylridge {

namespace {

/// Counts for a route without a timeout, whose callers set their own.
constexpr Duration unlimitedTimeout = std::chrono::minutes(10);

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

template <typename Key, typename Value>
const Value *findValue(const std::unordered_map<Key, const Value *> &map, const Key &key)
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : found->second;
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const Catalog> catalog)
    : m_catalog(std::move(catalog))
{
    for (const RouteSpec &route : m_catalog->routes) {
        m_routes.emplace(lowerCase(route.host) + route.pathPrefix, &route);
        if (route.requestKind() == RequestKind::Stream) {
            const Duration timeout
                = route.timeoutMs > 0 ? fromMilliseconds(route.timeoutMs) : unlimitedTimeout;
            m_longestStreamTimeout = std::max(m_longestStreamTimeout, timeout);
        }
    }
    for (const ServiceSpec &service : m_catalog->services)
        m_services.emplace(service.name, &service);
    for (const WorkspaceSpec &workspace : m_catalog->workspaces) {
        for (const std::string &credential : workspace.credentials) {
            m_workspaces.emplace(credential, &workspace);
            m_workspacesByHash.emplace(hash32(credential), &workspace);
        }
    }
}

const RouteSpec *RouteTable::route(std::string_view host, std::string_view path) const
{
    path = path.substr(0, path.find('?'));
    std::string key = lowerCase(host);
    const std::size_t hostSize = key.size();
    key.append(path);
    for (std::size_t end = key.rfind('/'); end != std::string::npos && end >= hostSize;
         end = end == 0 ? std::string::npos : key.rfind('/', end - 1)) {
        key.resize(end + 1);
        if (const RouteSpec *route = findValue(m_routes, key))
            return route;
    }
    return nullptr;
}

const WorkspaceSpec *RouteTable::workspaceForCredential(const std::string &credential) const
{
    return findValue(m_workspaces, credential);
}

const WorkspaceSpec *RouteTable::workspaceForCredentialHash(std::uint32_t credentialHash) const
{
    return findValue(m_workspacesByHash, credentialHash);
}

const ServiceSpec *RouteTable::service(const std::string &name) const
{
    return findValue(m_services, name);
}

} // namespace berylridge
