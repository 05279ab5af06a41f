#include "FakePlatform.h"

#include "FakeNode.h"

namespace berylridge::rig {

namespace {

constexpr Duration watchPollPeriod = std::chrono::seconds(5); ///< Of a watch without changes.
constexpr Duration watchRetryPeriod = std::chrono::seconds(1);

} // namespace

FakePlatform::FakePlatform(Simulation &simulation, HostId host)
    : m_simulation(simulation)
    , m_host(host)
{
}

void FakePlatform::publish(DocumentText document)
{
    ++m_current.revision;
    m_current.documents[document.name] = std::move(document);
    notifyWatchers();
}

void FakePlatform::setVms(std::vector<VmEntry> vms)
{
    m_simulation.queue.scheduleAfter(vmListDelay, [this, vms = std::move(vms)] {
        ++m_current.vms.revision;
        m_current.vms.vms = vms;
        notifyWatchers();
    });
}

void FakePlatform::setMode(Mode mode)
{
    m_mode = mode;
    notifyWatchers();
}

void FakePlatform::watch(FakeNode &node, bool isOn)
{
    if (!isOn) {
        stopWatch(node);
        return;
    }
    if (m_watchers.contains(node.host()))
        return;
    const std::uint64_t watchId = m_nextWatchId++;
    m_watchers[node.host()].watchId = watchId;
    pollWatch(node, watchId);
}

void FakePlatform::stopWatch(const FakeNode &node)
{
    m_watchers.erase(node.host());
}

bool FakePlatform::isReachableFrom(const FakeNode &node) const
{
    return m_mode != Mode::Down && m_simulation.network.isConnected(m_host, node.host());
}

/// Simulates one long poll of a watch: sends pending changes at once and polls again after the
/// period. notifyWatchers() sends changes that occur in between.
void FakePlatform::pollWatch(FakeNode &node, std::uint64_t watchId)
{
    const auto found = m_watchers.find(node.host());
    if (found == m_watchers.end() || found->second.watchId != watchId)
        return;
    ++m_callCount;
    if (isReachableFrom(node)) {
        sendChanges(node, found->second);
    } else {
        reportReachability(node, false);
    }
    const Duration period = isReachableFrom(node) ? watchPollPeriod : watchRetryPeriod;
    node.runLater(period, [this, &node, watchId] { pollWatch(node, watchId); });
}

void FakePlatform::sendChanges(FakeNode &node, Watcher &watcher)
{
    const Snapshot &snapshot = servedSnapshot();
    reportReachability(node, true);
    const Duration delay = 2 * m_simulation.network.delay(m_host, node.host());
    if (snapshot.revision > watcher.documentsRevision) {
        watcher.documentsRevision = snapshot.revision;
        for (const auto &entry : snapshot.documents) {
            node.runLater(delay, [&node, document = entry.second] {
                node.handle(DocumentArrived {document});
            });
        }
    }
    if (snapshot.vms.revision > watcher.vmsRevision) {
        watcher.vmsRevision = snapshot.vms.revision;
        node.runLater(delay, [&node, vms = snapshot.vms] { node.handle(VmListArrived {vms}); });
    }
}

void FakePlatform::reportReachability(FakeNode &node, bool isReachable)
{
    node.runLater(m_simulation.network.delay(m_host, node.host()),
                  [&node, isReachable] { node.handle(PlatformReachability {isReachable}); });
}

void FakePlatform::notifyWatchers()
{
    for (auto &[host, watcher] : m_watchers) {
        FakeNode &node = *m_simulation.nodes.at(host);
        if (isReachableFrom(node))
            sendChanges(node, watcher);
    }
}

} // namespace berylridge::rig
