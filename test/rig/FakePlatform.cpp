#include "FakePlatform.h"

#include "FakeNode.h"

namespace berylridge::rig {

namespace {

constexpr Duration pollPeriod = std::chrono::seconds(5); ///< Of a watch that sees no change.
constexpr Duration retryPeriod = std::chrono::seconds(1);

} // namespace

FakePlatform::FakePlatform(World &world, PlaceId place)
    : m_world(world)
    , m_place(place)
{
}

void FakePlatform::publish(DocumentText document)
{
    ++m_current.revision;
    m_current.documents[document.name] = std::move(document);
    notifyAll();
}

void FakePlatform::setVms(std::vector<VmEntry> vms)
{
    m_world.queue.after(vmLag, [this, vms = std::move(vms)] {
        ++m_current.vms.revision;
        m_current.vms.vms = vms;
        notifyAll();
    });
}

void FakePlatform::setMode(Mode mode)
{
    m_mode = mode;
    notifyAll();
}

void FakePlatform::watch(FakeNode &node, bool isOn)
{
    if (!isOn) {
        forget(node);
        return;
    }
    if (m_watchers.contains(node.place()))
        return;
    const std::uint64_t session = m_nextSession++;
    m_watchers[node.place()].session = session;
    poll(node, session);
}

void FakePlatform::forget(const FakeNode &node)
{
    m_watchers.erase(node.place());
}

bool FakePlatform::isReached(const FakeNode &node) const
{
    return m_mode != Mode::Down && m_world.links.isOpen(m_place, node.place());
}

/// One waiting call of a watch: answered now where there is news, else after its period.
void FakePlatform::poll(FakeNode &node, std::uint64_t session)
{
    const auto found = m_watchers.find(node.place());
    if (found == m_watchers.end() || found->second.session != session)
        return;
    ++m_calls;
    if (isReached(node)) {
        answer(node, found->second);
    } else {
        reach(node, false);
    }
    const Duration period = isReached(node) ? pollPeriod : retryPeriod;
    node.later(period, [this, &node, session] { poll(node, session); });
}

void FakePlatform::answer(FakeNode &node, Watcher &watcher)
{
    const Snapshot &snapshot = served();
    reach(node, true);
    const Duration delay = 2 * m_world.links.delay(m_place, node.place());
    if (snapshot.revision > watcher.documentsRevision) {
        watcher.documentsRevision = snapshot.revision;
        for (const auto &entry : snapshot.documents) {
            node.later(delay, [&node, document = entry.second] {
                node.handle(DocumentArrived {document});
            });
        }
    }
    if (snapshot.vms.revision > watcher.vmsRevision) {
        watcher.vmsRevision = snapshot.vms.revision;
        node.later(delay, [&node, vms = snapshot.vms] { node.handle(VmListArrived {vms}); });
    }
}

void FakePlatform::reach(FakeNode &node, bool isReachable)
{
    node.later(m_world.links.delay(m_place, node.place()),
               [&node, isReachable] { node.handle(PlatformReachability {isReachable}); });
}

void FakePlatform::notifyAll()
{
    for (auto &[place, watcher] : m_watchers) {
        FakeNode &node = *m_world.nodes.at(place);
        if (isReached(node))
            answer(node, watcher);
    }
}

} // namespace berylridge::rig
