// News that must reach every peer though each digest goes to some of them alone.
//
// Load it answers: with 73 peers and 12 receivers a period, news that went out once were missed by
// five nodes of six, which then made targets read again what others kept.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

namespace berylridge {

/// Receivers have their turn in a fixed order, so news that go out for as many periods as a whole
/// turn takes reach each of them.
template <typename Entry>
class TransmitLimitedQueue
{
public:
    /// The entry goes out so many transmissions.
    void add(Entry entry, unsigned transmissions)
    {
        m_items.push_back({std::move(entry), transmissions});
    }

    /// What goes out in this period: the oldest first, `maxEntries` at the maxEntries.
    std::vector<Entry> take(std::size_t maxEntries)
    {
        std::vector<Entry> taken;
        const std::size_t count = std::min(maxEntries, m_items.size());
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
