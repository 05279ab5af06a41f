// The platform of a test run: documents to read and watch and a VM list that lags; it can be stale
// or down, and nothing can be written to it by nodes.
#pragma once

#include "Links.h"

#include "berylridge/Config/Documents.h"
#include "berylridge/Config/Vms.h"

#include <cstdint>
#include <map>
#include <vector>

namespace berylridge::rig {

struct World;
class FakeNode;

class FakePlatform
{
public:
    enum class Mode : std::uint8_t { Up, Stale, Down };

    FakePlatform(World &world, PlaceId place);

    /// Operators put a document into the platform.
    void publish(DocumentText document);
    /// What is live or leaving; nodes see it after the lag.
    void setVms(std::vector<VmEntry> vms);
    /// While stale it serves what it held at its first publication round.
    void setMode(Mode mode);
    Mode mode() const { return m_mode; }
    /// Makes what is published so far the state that a stale platform falls back to.
    void keepAsStale() { m_stale = m_current; }

    /// A node begins or ceases to watch.
    void watch(FakeNode &node, bool isOn);
    void forget(const FakeNode &node);

    std::uint64_t calls() const { return m_calls; }
    PlaceId place() const { return m_place; }
    Duration vmLag = std::chrono::seconds(4);

private:
    struct Snapshot
    {
        std::uint64_t revision = 0;
        std::map<std::string, DocumentText> documents;
        VmList vms;
    };
    struct Watcher
    {
        std::uint64_t session = 0;
        std::uint64_t documentsRevision = 0;
        std::uint64_t vmsRevision = 0;
    };

    const Snapshot &served() const { return m_mode == Mode::Stale ? m_stale : m_current; }
    bool isReached(const FakeNode &node) const;
    void poll(FakeNode &node, std::uint64_t session);
    void answer(FakeNode &node, Watcher &watcher);
    void reach(FakeNode &node, bool isReachable);
    void notifyAll();

    World &m_world;
    PlaceId m_place;
    Mode m_mode = Mode::Up;
    Snapshot m_current;
    Snapshot m_stale;
    std::map<PlaceId, Watcher> m_watchers; ///< By node, so that a run repeats.
    std::uint64_t m_nextSession = 1;
    std::uint64_t m_calls = 0;
};

} // namespace berylridge::rig
