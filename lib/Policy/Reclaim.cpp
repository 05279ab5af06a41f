#include "berylridge/Policy/Reclaim.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <unordered_map>

namespace berylridge {

namespace {

/// Callers wait this long for a connection to be read, so a request that takes longer to arrive is
/// slow.
constexpr Duration slowRequestTime = std::chrono::seconds(1);

/// Fraction of a limit down to which memory is reclaimed. The selection is repeated only after as
/// much has arrived again.
constexpr std::size_t reclaimNumerator = 7;
constexpr std::size_t reclaimDenominator = 8;

std::size_t reclaimedLevel(std::size_t limit)
{
    return limit / reclaimDenominator * reclaimNumerator;
}

bool isSmall(const PartialRequest &request)
{
    return request.bytes <= MemoryUse::smallRequestBytes;
}

double memoryTime(const PartialRequest &request)
{
    return static_cast<double>(request.bytes) * toSeconds(request.age);
}

/// Requests of one kind, in groups by credential.
class Candidates
{
public:
    template <typename Predicate>
    Candidates(std::span<const PartialRequest> requests, Predicate isCandidate)
        : m_requests(requests)
    {
        for (std::size_t i = 0; i < requests.size(); ++i) {
            if (!isCandidate(requests[i]))
                continue;
            Group &group = m_groups[requests[i].credential];
            group.bytes += requests[i].bytes;
            group.indexes.push_back(i);
        }
        for (auto &[credential, group] : m_groups) {
            std::sort(group.indexes.begin(), group.indexes.end(),
                      [&requests](std::size_t a, std::size_t b) {
                          return memoryTime(requests[a]) < memoryTime(requests[b]);
                      });
        }
    }

    /// Selects requests until no more than `target` bytes are held or none is left.
    void dropUntil(std::size_t target, std::size_t &heldBytes, std::vector<std::size_t> &dropped)
    {
        while (heldBytes > target && !m_groups.empty()) {
            const auto heaviest = std::max_element(
                m_groups.begin(), m_groups.end(),
                [](const auto &a, const auto &b) { return a.second.bytes < b.second.bytes; });
            Group &group = heaviest->second;
            const std::size_t index = group.indexes.back();
            group.indexes.pop_back();
            group.bytes -= m_requests[index].bytes;
            heldBytes -= std::min(heldBytes, m_requests[index].bytes);
            dropped.push_back(index);
            if (group.indexes.empty())
                m_groups.erase(heaviest);
        }
    }

private:
    struct Group
    {
        std::size_t bytes = 0;
        std::vector<std::size_t> indexes; ///< The next one to drop is the last.
    };

    std::span<const PartialRequest> m_requests;
    std::unordered_map<CredentialKey, Group> m_groups;
};

} // namespace

std::vector<std::size_t> selectRequestsToDrop(std::span<const PartialRequest> requests,
                                              MemoryUse memory)
{
    std::vector<std::size_t> dropped;
    std::size_t heldBytes = memory.heldBytes;
    if (heldBytes > memory.largeRequestLimit()) {
        const auto isLarge = [](const PartialRequest &request) { return !isSmall(request); };
        Candidates(requests, isLarge)
            .dropUntil(reclaimedLevel(memory.largeRequestLimit()), heldBytes, dropped);
    }
    if (heldBytes > memory.limitBytes) {
        Candidates(requests, isSmall)
            .dropUntil(reclaimedLevel(memory.limitBytes), heldBytes, dropped);
    }
    return dropped;
}

std::vector<std::size_t> selectConnectionsToClose(std::span<const WaitingConnection> connections,
                                                  std::size_t count)
{
    const auto rank = [](const WaitingConnection &connection) {
        if (connection.use == ConnectionUse::KeptAlive)
            return 1;
        const bool isInUse = connection.use == ConnectionUse::Receiving;
        return isInUse && connection.age < slowRequestTime ? 2 : 0;
    };
    std::vector<std::size_t> order(connections.size());
    std::iota(order.begin(), order.end(), 0U);
    const std::size_t selected = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(selected),
                      order.end(), [&](std::size_t a, std::size_t b) {
                          return std::tuple(rank(connections[a]), -connections[a].age)
                              < std::tuple(rank(connections[b]), -connections[b].age);
                      });
    order.resize(selected);
    return order;
}

} // namespace berylridge
