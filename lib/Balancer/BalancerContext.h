// Holds the state that the parts of the balancer share: options, state machines, current time,
// active catalog, and the list of actions to perform.
#pragma once

#include "berylridge/Balancer/BalancerCore.h"
#include "berylridge/Catalog/RouteHistory.h"
#include "berylridge/Catalog/RouteTable.h"
#include "berylridge/Catalog/TargetDirectory.h"
#include "berylridge/Chart/NodeStateMachine.h"
#include "berylridge/Chart/RequestStateMachine.h"
#include "berylridge/Fleet/PeerTable.h"

#include <memory>
#include <string>
#include <utility>

namespace berylridge {

struct BalancerStateMachines
{
    NodeStateMachine node;
    RequestStateMachine request;
};

class BalancerContext
{
public:
    BalancerContext(BalancerOptions balancerOptions, BalancerStateMachines loadedStateMachines,
                    TimePoint start, WallTime wallStart)
        : options(std::move(balancerOptions))
        , stateMachines(std::move(loadedStateMachines))
        , now(start)
        , wallNow(wallStart)
        , peers({options.node, options.zone, options.endpoint, options.seeds, options.digestPeriod})
    {
    }

    /// Returns the version of the active catalog; 0 if there is none.
    std::uint64_t catalogVersion() const { return routeTable ? routeTable->catalog().version : 0; }
    /// Returns whether some peer has a newer catalog than this node.
    bool isCatalogOutdated() const { return catalogVersion() < newestPeerCatalogVersion; }

    void emit(Action action) { actions->push_back(std::move(action)); }
    void log(LogEventId id, std::string detail, Json::Value fields = {})
    {
        emit(Log {LogRecord {id, std::move(detail), {}, std::move(fields)}});
    }

    const BalancerOptions options;
    const BalancerStateMachines stateMachines;
    TimePoint now;
    WallTime wallNow;
    Actions *actions = nullptr;
    std::shared_ptr<const RouteTable> routeTable; ///< Null until a catalog is known.
    /// Longest timeout of a route for streams in any catalog that was active. Streams that began
    /// under an earlier one may still run.
    Duration longestStreamTimeout {0};
    std::uint64_t newestPeerCatalogVersion = 0; ///< Highest version in any peer's digest.
    RouteHistory routeHistory;
    TargetDirectory directory;
    PeerTable peers;
};

} // namespace berylridge
