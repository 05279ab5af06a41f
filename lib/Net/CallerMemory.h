// Counts the memory for bytes of callers that a traffic thread holds.
#pragma once

#include "berylridge/Net/Metrics.h"
#include "berylridge/Policy/Reclaim.h"

#include <cstddef>
#include <utility>

namespace berylridge {

/// The memory for callers' bytes of one thread: heads, bodies that are being received, complete
/// requests and pipelined bytes. It only counts; the thread reclaims memory.
class CallerMemory
{
public:
    explicit CallerMemory(Metrics &metrics)
        : m_metrics(metrics)
    {
    }

    MemoryUse use() const { return {m_heldBytes, m_limitBytes}; }
    void setLimit(std::size_t bytes) { m_limitBytes = bytes; }

private:
    friend class CallerBytes;

    void add(std::size_t bytes)
    {
        m_heldBytes += bytes;
        m_metrics.callerBytesHeld += bytes;
    }
    void remove(std::size_t bytes)
    {
        m_heldBytes -= bytes;
        m_metrics.callerBytesHeld -= bytes;
    }

    Metrics &m_metrics;
    std::size_t m_heldBytes = 0;
    std::size_t m_limitBytes = 0;
};

/// The bytes that one request or connection holds.
class CallerBytes
{
public:
    explicit CallerBytes(CallerMemory &memory)
        : m_memory(memory)
    {
    }
    ~CallerBytes() { resize(0); }
    CallerBytes(const CallerBytes &) = delete;
    CallerBytes &operator=(const CallerBytes &) = delete;

    void resize(std::size_t bytes)
    {
        if (bytes > m_bytes)
            m_memory.add(bytes - m_bytes);
        else
            m_memory.remove(m_bytes - bytes);
        m_bytes = bytes;
    }
    std::size_t bytes() const { return m_bytes; }

private:
    CallerMemory &m_memory;
    std::size_t m_bytes = 0;
};

} // namespace berylridge
