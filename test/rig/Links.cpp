#include "Links.h"

namespace berylridge::rig {

namespace {

constexpr Duration retransmission = std::chrono::milliseconds(200);
constexpr Duration retransmissionLimit = std::chrono::seconds(15);
constexpr double longestSpikeSeconds = 0.08;

} // namespace

PlaceId Links::add(const ZoneId &zone, const Endpoint &endpoint)
{
    m_zones.push_back(zone);
    m_places[endpoint] = m_zones.size() - 1;
    return m_zones.size() - 1;
}

PlaceId Links::find(const Endpoint &endpoint) const
{
    const auto found = m_places.find(endpoint);
    return found == m_places.end() ? m_zones.size() : found->second;
}

std::size_t Links::cut(const std::vector<PlaceId> &side)
{
    std::vector<bool> isInside(m_zones.size(), false);
    for (const PlaceId place : side)
        isInside[place] = true;
    m_cuts.emplace(m_nextCut, std::move(isInside));
    return m_nextCut++;
}

void Links::heal(std::size_t cut)
{
    m_cuts.erase(cut);
}

bool Links::isOpen(PlaceId a, PlaceId b) const
{
    for (const auto &[id, isInside] : m_cuts) {
        if (isInside[a] != isInside[b])
            return false;
    }
    return true;
}

Duration Links::delay(PlaceId a, PlaceId b)
{
    const Duration base = m_zones[a] == m_zones[b] ? options.sameZone : options.otherZone;
    const double factor = 1.0 + options.jitter * (uniform(m_random) - 0.5);
    return fromSeconds(toSeconds(base) * factor);
}

void Links::datagram(PlaceId from, PlaceId to, const EventQueue::Function &arrive)
{
    if (!isOpen(from, to) || uniform(m_random) < options.loss)
        return;
    const int copies = uniform(m_random) < options.duplication ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        Duration wait = delay(from, to);
        if (uniform(m_random) < options.spike)
            wait += fromSeconds(longestSpikeSeconds * uniform(m_random));
        m_queue.after(wait, [this, from, to, arrive] {
            if (isOpen(from, to))
                arrive();
        });
    }
}

void Links::stream(PlaceId from, PlaceId to, EventQueue::Function arrive)
{
    const TimePoint giveUp = m_queue.now() + retransmissionLimit;
    m_queue.after(delay(from, to), [this, from, to, giveUp, arrive = std::move(arrive)]() mutable {
        streamAgain(from, to, std::move(arrive), giveUp);
    });
}

void Links::streamAgain(PlaceId from, PlaceId to, EventQueue::Function arrive, TimePoint giveUp)
{
    if (isOpen(from, to)) {
        arrive();
        return;
    }
    if (m_queue.now() >= giveUp)
        return;
    m_queue.after(retransmission, [this, from, to, giveUp, arrive = std::move(arrive)]() mutable {
        streamAgain(from, to, std::move(arrive), giveUp);
    });
}

} // namespace berylridge::rig
