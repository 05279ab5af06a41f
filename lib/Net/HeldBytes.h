// Limits the memory for targets' bytes that all requests of a process hold together.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace berylridge {

/// The bytes of targets' responses that one request holds. Different objects may be used by
/// different threads at the same time.
class HeldBytes
{
public:
    /// Maximum bytes that all requests of a process hold together beyond their freeBytes.
    static constexpr std::size_t limitBytes = 24 << 20;
    /// Bytes that each request may hold regardless of the others, so that a faulty target doesn't
    /// end streams of small events.
    static constexpr std::size_t freeBytes = 48 << 10;

    HeldBytes() = default;
    ~HeldBytes() { resize(0); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

    /// Sets the bytes that the request holds. Returns false and changes nothing if they grow beyond
    /// the limit; never fails if they shrink.
    bool resize(std::size_t bytes)
    {
        const std::size_t counted = bytes > freeBytes ? bytes - freeBytes : 0;
        if (counted > m_counted && !add(counted - m_counted))
            return false;
        if (counted < m_counted)
            totalCounted -= m_counted - counted;
        m_counted = counted;
        return true;
    }

    /// Returns the bytes that all requests of the process hold beyond their freeBytes.
    static std::uint64_t processBytes() { return totalCounted; }
    /// Returns how often a request was refused further bytes.
    static std::uint64_t refusals() { return totalRefusals; }

private:
    static bool add(std::size_t growth)
    {
        std::uint64_t counted = totalCounted;
        do {
            if (counted + growth > limitBytes) {
                ++totalRefusals;
                return false;
            }
        } while (!totalCounted.compare_exchange_weak(counted, counted + growth));
        return true;
    }

    static inline std::atomic<std::uint64_t> totalCounted {0};
    static inline std::atomic<std::uint64_t> totalRefusals {0};
    std::size_t m_counted = 0; ///< Bytes beyond freeBytes.
};

} // namespace berylridge
