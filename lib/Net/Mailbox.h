// Hands values from any thread to the one that runs an io_context, many at a time.
#pragma once

#include "Asio.h"

#include <boost/asio/post.hpp>
#include <functional>
#include <mutex>
#include <utility>
#include <vector>

namespace berylridge {

/// Waking the other thread costs a system call: a batch that piles up meanwhile shares one.
template <typename T>
class Mailbox
{
public:
    using Take = std::function<void(std::vector<T> &)>;

    Mailbox(asio::io_context &context, Take take)
        : m_context(context)
        , m_take(std::move(take))
    {
    }

    /// From any thread.
    void put(T item)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_items.push_back(std::move(item));
            if (std::exchange(m_isScheduled, true))
                return;
        }
        asio::post(m_context, [this] { drain(); });
    }

private:
    void drain()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_taken.swap(m_items);
            m_isScheduled = false;
        }
        m_take(m_taken);
        m_taken.clear();
    }

    asio::io_context &m_context;
    Take m_take;
    std::mutex m_mutex;
    std::vector<T> m_items;
    bool m_isScheduled = false;
    std::vector<T> m_taken;
};

} // namespace berylridge
