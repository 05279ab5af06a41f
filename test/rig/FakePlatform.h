// A simulated platform: nodes read and watch its documents and its VM list, which is delayed. It
// can be stale or down. Nodes can't write to it.
#pragma once

#include "FakeNetwork.h"

#include "berylridge/Config/Documents.h"
#include "berylridge/Config/Vms.h"

#include <cstdint>
#include <map>
#include <vector>

namespace berylridge::rig {

struct Simulation;
class FakeNode;

class FakePlatform
{
public:
    enum class Mode : std::uint8_t { Up, Stale, Down };

    FakePlatform(Simulation &simulation, HostId host);

    /// Stores a document, as operators do.
    void publish(DocumentText document);
    /// Sets the list of live and leaving VMs, which nodes receive after vmListDelay.
    void setVms(std::vector<VmEntry> vms);
    /// Sets the mode. A stale platform serves the snapshot of saveStaleSnapshot().
    void setMode(Mode mode);
    Mode mode() const { return m_mode; }
    /// Saves the current state as the one that the platform serves while it is stale.
    void saveStaleSnapshot() { m_stale = m_current; }

    /// Starts or ends the watch of a node.
    void watch(FakeNode &node, bool isOn);
    void stopWatch(const FakeNode &node);

    std::uint64_t callCount() const { return m_callCount; }
    HostId host() const { return m_host; }
    Duration vmListDelay = std::chrono::seconds(4);

private:
    struct Snapshot
    {
        std::uint64_t revision = 0;
        std::map<std::string, DocumentText> documents;
        VmList vms;
    };
    struct Watcher
    {
        std::uint64_t watchId = 0;
        std::uint64_t documentsRevision = 0;
        std::uint64_t vmsRevision = 0;
    };

    const Snapshot &servedSnapshot() const { return m_mode == Mode::Stale ? m_stale : m_current; }
    bool isReachableFrom(const FakeNode &node) const;
    void pollWatch(FakeNode &node, std::uint64_t watchId);
    void sendChanges(FakeNode &node, Watcher &watcher);
    void reportReachability(FakeNode &node, bool isReachable);
    void notifyWatchers();

    Simulation &m_simulation;
    HostId m_host;
    Mode m_mode = Mode::Up;
    Snapshot m_current;
    Snapshot m_stale;
    /// Ordered by host, so that a seed's run is reproducible.
    std::map<HostId, Watcher> m_watchers;
    std::uint64_t m_nextWatchId = 1;
    std::uint64_t m_callCount = 0;
};

} // namespace berylridge::rig
