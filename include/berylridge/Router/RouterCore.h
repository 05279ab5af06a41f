// The decision core: events in, actions out. It opens no socket, starts no thread, reads no clock
// and writes no log; a foreign driver needs this header alone (docs/design/core.md).
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

/// Which rule shares capacity. All but Fleet are baselines for measurements.
enum class SharingPolicy : std::uint8_t {
    Fleet,      ///< Virtual time over the whole fleet.
    PerNode,    ///< Virtual time inside each node alone.
    RoundRobin, ///< Workspaces in turn, whatever they cost.
    Fifo,       ///< In order of arrival.
};

/// What a core is built with. Times that matter to safety are explained where they are used.
struct CoreOptions
{
    NodeId node;
    ZoneId zone;
    Endpoint endpoint;           ///< Where other nodes reach this one.
    Incarnation incarnation = 0; ///< Must be higher than in any earlier run of this node.
    std::vector<VmEntry> seeds;  ///< Other nodes to greet before a VM list is there.
    std::string chartDirectory;
    std::uint64_t seed = 1;
    SharingPolicy policy = SharingPolicy::Fleet;
    Duration heartbeatPeriod = std::chrono::milliseconds(250);
    Duration suspectAfter = std::chrono::milliseconds(1200);
    Duration leaseTerm = std::chrono::milliseconds(2000);
    Duration readinessWait
        = std::chrono::seconds(3); ///< Longest wait for peers' documents at start.
    Duration stopLimit
        = std::chrono::seconds(120); ///< Longest wait for running requests at a stop.
};

/// One node's decisions. Not safe for use by two threads at once: the control thread owns it.
class RouterCore
{
public:
    /// Fails when a chart file is missing or wrong.
    static Expected<std::unique_ptr<RouterCore>> create(CoreOptions options, TimePoint now,
                                                        WallTime wall);
    ~RouterCore();
    RouterCore(const RouterCore &) = delete;
    RouterCore &operator=(const RouterCore &) = delete;

    /// Takes in one event and appends what is to be done. Times must not step back.
    void handle(const Event &event, TimePoint now, WallTime wall, Actions &actions);

    /// When to send TimerDue next.
    TimePoint nextTimer() const;

    /// A view of the node for operators; costs a copy.
    NodeStatus status() const;

    /// Why the request with this id went where it did, waited or was refused: one line a step.
    std::vector<std::string> explain(const std::string &requestId) const;

    /// The documents in force; costs a copy.
    std::vector<DocumentText> documents() const;

private:
    class Impl;
    explicit RouterCore(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace berylridge
