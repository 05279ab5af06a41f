// The platform of a test run: documents to read and watch and a VM list that lags; it can be stale
// or down, and nothing can be written to it by nodes.
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

    /// Operators put a document into the platform.
    void publish(DocumentText document);
    /// What is live or leaving; nodes see it after the lag.
    void setVms(std::vector<VmEntry> vms);
    /// While stale it serves what it held at its first publication round.
    void setMode(Mode mode);
    Mode mode() const { return m_mode; }
    /// Makes what is published so far the state that a stale platform falls back to.
    void saveStaleSnapshot() { m_stale = m_current; }

    /// A node begins or ceases to watch.
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
    std::map<HostId, Watcher> m_watchers; ///< By node, so that a run repeats.
    std::uint64_t m_nextWatchId = 1;
    std::uint64_t m_callCount = 0;
};

} // namespace berylridge::rig
