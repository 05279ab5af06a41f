// Declares the decision core that shares capacity by leases. It turns events into actions and does
// no I/O: it opens no socket, starts no thread, reads no clock and writes no log. A driver of its
// own needs only this header (docs/design/core.md).
#pragma once

#include "berylridge/Router/Actions.h"
#include "berylridge/Router/Events.h"
#include "berylridge/Router/Status.h"
#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace berylridge {

/// Selects the policy that shares capacity. All policies but Fleet are baselines for measurements.
enum class SharingPolicy : std::uint8_t {
    Fleet,      ///< Orders workspaces by virtual time over the whole fleet.
    PerNode,    ///< Orders workspaces by virtual time within each node.
    RoundRobin, ///< Serves workspaces in turn, regardless of their cost.
    Fifo,       ///< Serves requests in order of arrival.
};

/// Configures a core. Durations that matter to safety are explained where they are used.
struct CoreOptions
{
    NodeId node;
    ZoneId zone;
    Endpoint endpoint;           ///< Address at which other nodes reach this one.
    Incarnation incarnation = 0; ///< Must be higher than in any earlier process run of this node.
    std::vector<VmEntry> seeds;  ///< Nodes to contact before a VM list is known.
    std::string chartDirectory;
    std::uint64_t seed = 1;
    SharingPolicy policy = SharingPolicy::Fleet;
    Duration heartbeatPeriod = std::chrono::milliseconds(250);
    Duration suspectAfter = std::chrono::milliseconds(1200);
    Duration leaseTerm = std::chrono::milliseconds(2000);
    Duration readinessWait
        = std::chrono::seconds(3); ///< Maximum wait for peers' documents at start.
    Duration stopLimit
        = std::chrono::seconds(120); ///< Maximum wait for running requests at a planned stop.
};

/// Makes the decisions of one node. It is not thread-safe: the control thread owns it.
class RouterCore
{
public:
    /// Fails if a chart file is missing or invalid.
    static Expected<std::unique_ptr<RouterCore>> create(CoreOptions options, TimePoint now,
                                                        WallTime wall);
    ~RouterCore();
    RouterCore(const RouterCore &) = delete;
    RouterCore &operator=(const RouterCore &) = delete;

    /// Handles one event and appends the resulting actions. The times must not go backwards.
    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);

    /// Returns when the next TimerDue event is due.
    TimePoint nextTimer() const;

    /// Returns the node's status for operators, as a copy.
    NodeStatus status() const;

    /// Explains why the request with this id was routed, queued or refused as it was. Returns one
    /// line per step.
    std::vector<std::string> explain(const std::string &requestId) const;

    /// Returns a copy of the active documents.
    std::vector<DocumentText> documents() const;

private:
    class Impl;
    explicit RouterCore(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylridge
