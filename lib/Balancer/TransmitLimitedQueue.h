// Queues updates that must reach every peer although each digest goes to only some of them.
//
// With 73 peers and 12 receivers per period, five of six nodes missed an update that was sent once,
// and then made targets read prompts again that other targets had cached.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

namespace berylridge {

/// Sends each entry a limited number of times. Peers receive digests in a fixed rotation, so an
/// entry that is sent for as many periods as one full round takes reaches every peer.
template <typename Entry>
class TransmitLimitedQueue
{
public:
    /// Beyond this number, the oldest entries are dropped: they have been sent most often.
    static constexpr std::size_t maxEntries = 8192;

    /// Queues the entry to be sent `transmissions` times.
    void add(Entry entry, unsigned transmissions)
    {
        if (m_items.size() == maxEntries)
            m_items.pop_front();
        m_items.push_back({std::move(entry), transmissions});
    }

    /// Returns the entries to send in this period, the oldest first and at most `maxCount`.
    std::vector<Entry> take(std::size_t maxCount)
    {
        std::vector<Entry> taken;
        const std::size_t count = std::min(maxCount, m_items.size());
        for (std::size_t i = 0; i < count; ++i) {
            taken.push_back(m_items[i].entry);
            --m_items[i].transmissionsLeft;
        }
        std::erase_if(m_items, [](const Item &item) { return item.transmissionsLeft == 0; });
        return taken;
    }

private:
    struct Item
    {
        Entry entry;
        unsigned transmissionsLeft = 0;
    };

    std::deque<Item> m_items;
};

} // namespace berylridge
