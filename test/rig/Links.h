// The network of a test run: who reaches whom, after which delay, and what is lost or doubled.
#pragma once

#include "EventQueue.h"

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Id.h"
#include "berylridge/Support/Random.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace berylridge::rig {

using PlaceId = std::size_t;

/// How datagrams fare. Streams (connections) share the delay alone.
struct LinkOptions
{
    Duration sameZone = std::chrono::microseconds(200);
    Duration otherZone = std::chrono::microseconds(1500);
    double jitter = 0.3; ///< Share of the delay that is drawn anew each time.
    double loss = 0.002;
    double duplication = 0.001;
    double spike = 0.002; ///< Chance of a delay of up to 80 ms, which also reorders.
};

class Links
{
public:
    Links(EventQueue &queue, RandomEngine &random)
        : m_queue(queue)
        , m_random(random)
    {
    }

    PlaceId add(const ZoneId &zone, const Endpoint &endpoint);
    /// The place at an endpoint; past the end where nothing is.
    PlaceId find(const Endpoint &endpoint) const;
    const ZoneId &zone(PlaceId place) const { return m_zones[place]; }

    /// Separates the places from all others until the returned cut is healed.
    std::size_t cut(const std::vector<PlaceId> &side);
    void heal(std::size_t cut);
    bool isOpen(PlaceId a, PlaceId b) const;
    bool isWhole() const { return m_cuts.empty(); }

    Duration delay(PlaceId a, PlaceId b);
    /// Sends a datagram: it may come late, twice or never.
    void datagram(PlaceId from, PlaceId to, const EventQueue::Function &arrive);
    /// Sends on a connection: bytes wait while the link is cut, up to a limit.
    void stream(PlaceId from, PlaceId to, EventQueue::Function arrive);

    LinkOptions options;

private:
    void streamAgain(PlaceId from, PlaceId to, EventQueue::Function arrive, TimePoint giveUp);

    EventQueue &m_queue;
    RandomEngine &m_random;
    std::vector<ZoneId> m_zones;
    std::map<Endpoint, PlaceId> m_places;
    std::map<std::size_t, std::vector<bool>> m_cuts; ///< Which places are on the cut side.
    std::size_t m_nextCut = 0;
};

} // namespace berylridge::rig
