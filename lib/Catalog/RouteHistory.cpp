#include "berylridge/Catalog/RouteHistory.h"

#include "berylridge/Support/Hash.h"

#include <utility>

namespace berylridge {

RouteKey routeKeyOf(const RouteSpec &route)
{
    return hash64(route.pathPrefix, hash64(route.host));
}

void RouteHistory::onCatalog(const Catalog &catalog, TimePoint now)
{
    std::unordered_map<RouteKey, Entry> previous = std::exchange(m_routes, {});
    for (const RouteSpec &route : catalog.routes) {
        const RouteKey key = routeKeyOf(route);
        const bool hasOneService = route.services.size() == 1;
        Entry entry {hasOneService ? hash64(route.services.front().service) : 0, now};
        const auto known = previous.find(key);
        if (known != previous.end() && known->second.service == entry.service)
            entry.since = known->second.since;
        m_routes.emplace(key, entry);
    }
}

bool RouteHistory::hadOnlyService(RouteKey route, std::string_view service, Duration window,
                                  TimePoint now) const
{
    const auto found = m_routes.find(route);
    return found != m_routes.end() && found->second.service == hash64(service)
        && now - found->second.since >= window;
}

} // namespace berylridge
