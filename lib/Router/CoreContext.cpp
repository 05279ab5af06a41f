#include "CoreContext.h"

#include <algorithm>

namespace berylridge {

Expected<StateMachines> StateMachines::load(const std::string &directory)
{
    Expected<MemberStateMachine> member = loadMemberStateMachine(directory);
    if (!member)
        return Reason {member.failureReason()};
    Expected<NodeStateMachine> node = loadNodeStateMachine(directory);
    if (!node)
        return Reason {node.failureReason()};
    Expected<RequestStateMachine> request = loadRequestStateMachine(directory);
    if (!request)
        return Reason {request.failureReason()};
    Expected<TargetStateMachine> target = loadTargetStateMachine(directory);
    if (!target)
        return Reason {target.failureReason()};
    return StateMachines {*std::move(member), *std::move(node), *std::move(request),
                          *std::move(target)};
}

CoreContext::CoreContext(CoreOptions coreOptions, StateMachines loadedStateMachines,
                         TimePoint start, WallTime wallStart)
    : options(std::move(coreOptions))
    , stateMachines(std::move(loadedStateMachines))
    , now(start)
    , wall(wallStart)
    , membership(stateMachines.member,
                 MembershipOptions {options.node, options.zone, options.endpoint,
                                    options.incarnation, options.heartbeatPeriod,
                                    options.suspectAfter},
                 start)
{
    membership.addSeeds(options.seeds);
}

void CoreContext::log(LogEventId id, std::string detail)
{
    emit(Log {LogRecord {id, std::move(detail)}});
}

void CoreContext::audit(AuditKind kind, std::string who, std::string what, std::string from,
                        std::string to)
{
    emit(Audit {
        AuditEntry {kind, std::move(who), std::move(what), std::move(from), std::move(to), wall}});
}

void CoreContext::send(const NodeId &to, AnyMessage message)
{
    if (isSelf(to)) {
        selfMessages.push_back(std::move(message));
        return;
    }
    const Member *member = membership.find(to);
    if (!member || member->endpoint.port == 0)
        return;
    emit(SendToNode {to, member->endpoint, std::move(message)});
}

bool isZoneOutOfService(const FleetDocument &fleet, const ZoneId &zone)
{
    return std::find(fleet.zonesOut.begin(), fleet.zonesOut.end(), zone) != fleet.zonesOut.end();
}

} // namespace berylridge
