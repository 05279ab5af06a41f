// Records since when each route has had one and the same service.
//
// A stream goes on at the service that began it. Where its route has been moved or split since, the
// service of the route today may be another one.
#pragma once

#include "berylridge/Catalog/Catalog.h"
#include "berylridge/Support/Time.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace berylridge {

/// Identifies a route over all versions of the catalog, by its host and path prefix.
using RouteKey = std::uint64_t;

RouteKey routeKeyOf(const RouteSpec &route);

/// Not thread-safe.
class RouteHistory
{
public:
    /// Records that the catalog is active from now on.
    void onCatalog(const Catalog &catalog, TimePoint now);

    /// Returns whether all requests of the route went to the service in the time `window` up to
    /// now, as far as this node knows the catalogs of that time.
    bool hadOnlyService(RouteKey route, std::string_view service, Duration window,
                        TimePoint now) const;

private:
    struct Entry
    {
        std::uint64_t service = 0; ///< Hash of the only service's name; 0 if there are several.
        TimePoint since;
    };

    std::unordered_map<RouteKey, Entry> m_routes;
};

} // namespace berylridge
