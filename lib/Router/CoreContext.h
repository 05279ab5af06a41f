// Declares the state that the parts of the core share: options, current time, fleet membership,
// active documents and the output list of actions.
#pragma once

#include "berylridge/Chart/MemberStateMachine.h"
#include "berylridge/Chart/NodeStateMachine.h"
#include "berylridge/Chart/RequestStateMachine.h"
#include "berylridge/Chart/TargetStateMachine.h"
#include "berylridge/Config/DocumentStore.h"
#include "berylridge/Fleet/Membership.h"
#include "berylridge/Router/Actions.h"
#include "berylridge/Router/RouterCore.h"

#include <deque>
#include <string>
#include <utility>
#include <variant>

namespace berylridge {

using AnyMessage = std::variant<FleetMessage, KeyMessage, BalancerMessage>;

/// Holds all state machines, loaded once at the start.
struct StateMachines
{
    MemberStateMachine member;
    NodeStateMachine node;
    RequestStateMachine request;
    TargetStateMachine target;

    static Expected<StateMachines> load(const std::string &directory);
};

class CoreContext
{
public:
    CoreContext(CoreOptions coreOptions, StateMachines loadedStateMachines, TimePoint start,
                WallTime wallStart);

    void emit(Action action) { actions->push_back(std::move(action)); }
    void log(LogEventId id, std::string detail);
    void audit(AuditKind kind, std::string who, std::string what, std::string from, std::string to);

    /// Sends a message to a node. A message to this node itself is handled before the current event
    /// is completed.
    void send(const NodeId &to, AnyMessage message);
    bool isSelf(const NodeId &node) const { return node == options.node; }

    const CoreOptions options;
    const StateMachines stateMachines;
    TimePoint now;
    WallTime wall;
    Actions *actions = nullptr;
    /// Time from which a planned stop takes only requests that end before `stopsAt`.
    TimePoint takesLongRequestsUntil = TimePoint::max();
    TimePoint stopsAt = TimePoint::max(); ///< Latest end of a planned stop.
    Membership membership;
    DocumentStore documents;
    std::deque<AnyMessage> selfMessages;
};

/// Returns whether operators have taken the zone out of service.
bool isZoneOutOfService(const FleetDocument &fleet, const ZoneId &zone);

} // namespace berylridge
