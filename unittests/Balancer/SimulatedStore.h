// Simulates the platform's store before the nodes of a fleet: what targets registered, the watches
// of the nodes that read it, and outages of the whole store or of single nodes' path to it.
#pragma once

#include "SimulatedFleet.h"
#include "StepSchedule.h"

#include "berylridge/Support/Random.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace berylridge::test {

class SimulatedStore
{
public:
    using Node = SimulatedFleet::Node;

    SimulatedStore(SimulatedFleet &fleet, StepSchedule &schedule, RandomEngine &random)
        : m_fleet(fleet)
        , m_schedule(schedule)
        , m_random(random)
    {
        for (Node &node : fleet.nodes())
            poll(node, Duration(0));
    }

    void list(TargetRecord record)
    {
        record.revision = ++m_revision;
        m_entries[record.id] = std::move(record);
    }

    void remove(const std::string &id)
    {
        TargetRecord &record = m_entries.at(id);
        record.isRemoved = true;
        record.revision = ++m_revision;
    }

    void publish(std::shared_ptr<const Catalog> catalog)
    {
        m_catalog = std::move(catalog);
        m_catalogRevision = ++m_revision;
    }

    void setDown(bool isDown) { m_isDown = isDown; }
    /// Lets the node's requests go unanswered from now on, as behind a link that loses everything.
    void setSilent(const Node &node) { m_silent.insert(&node); }
    void setRefused(const Node &node, bool isRefused)
    {
        if (isRefused)
            m_refused.insert(&node);
        else
            m_refused.erase(&node);
    }
    bool isDown() const { return m_isDown; }
    bool isReachableFrom(const Node &node) const { return !m_isDown && !m_refused.contains(&node); }

private:
    static constexpr Duration watchInterval = std::chrono::milliseconds(100);
    static constexpr Duration maxWatchTime = std::chrono::seconds(1);
    static constexpr Duration maxRetryDelay = std::chrono::milliseconds(800);
    static constexpr unsigned failuresOfAnOutage = 2;

    /// One node's watch.
    struct Watch
    {
        std::uint64_t revision = 0; ///< Up to which the node has received all changes.
        Duration answeredAt {0};
        unsigned failures = 0;
    };

    void poll(Node &node, Duration delay)
    {
        m_schedule.add(delay, [this, &node] {
            Duration next = watchInterval;
            if (!node.core || !node.isReadingPlatform)
                m_watches.erase(&node);
            else if (m_silent.contains(&node))
                next = watchInterval;
            else if (isReachableFrom(node))
                answer(node);
            else
                next = reject(node);
            poll(node, next);
        });
    }

    void answer(Node &node)
    {
        Watch &watch = m_watches[&node];
        const bool isDue = m_schedule.now() - watch.answeredAt >= maxWatchTime;
        if (watch.revision == m_revision && watch.failures == 0 && !isDue)
            return;
        if (std::exchange(watch.failures, 0) >= failuresOfAnOutage)
            m_fleet.handle(node, PlatformReachability {true});
        if (m_catalogRevision > watch.revision)
            m_fleet.handle(node, CatalogArrived {m_catalog});
        DirectoryUpdate update;
        update.revision = m_revision;
        update.isFullSnapshot = watch.revision == 0;
        for (const auto &[id, record] : m_entries) {
            if (record.revision > watch.revision && !(update.isFullSnapshot && record.isRemoved))
                update.targets.push_back(record);
        }
        watch.revision = m_revision;
        watch.answeredAt = m_schedule.now();
        m_fleet.handle(node, DirectoryArrived {update});
    }

    /// Returns the time until the next attempt.
    Duration reject(Node &node)
    {
        if (++m_watches[&node].failures == failuresOfAnOutage)
            m_fleet.handle(node, PlatformReachability {false});
        return fromSeconds(toSeconds(maxRetryDelay) * uniform(m_random));
    }

    SimulatedFleet &m_fleet;
    StepSchedule &m_schedule;
    RandomEngine &m_random;
    std::map<std::string, TargetRecord> m_entries;
    std::map<const Node *, Watch> m_watches;
    std::set<const Node *> m_refused;
    std::set<const Node *> m_silent;
    std::shared_ptr<const Catalog> m_catalog;
    std::uint64_t m_catalogRevision = 0;
    std::uint64_t m_revision = 0;
    bool m_isDown = false;
};

} // namespace berylridge::test
