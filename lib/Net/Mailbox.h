// Transfers values from any thread to the thread that runs an io_context, in batches.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/asio/post.hpp>
#include <functional>
#include <iterator>
#include <mutex>
#include <utility>
#include <vector>

namespace berylridge {

/// Waking the other thread costs a system call, so values that arrive before it runs are delivered
/// in one batch.
template <typename T>
class Mailbox
{
public:
    using Handler = std::function<void(std::vector<T> &)>;

    Mailbox(asio::io_context &context, Handler handler)
        : m_context(context)
        , m_handler(std::move(handler))
    {
    }

    /// Adds one value. May be called from any thread.
    void put(T item)
    {
        bool isScheduled = false;
        {
            const std::lock_guard lock(m_mutex);
            m_items.push_back(std::move(item));
            isScheduled = std::exchange(m_isScheduled, true);
        }
        if (!isScheduled)
            schedule();
    }

    /// Moves all values out of `items`. May be called from any thread.
    void putAll(std::vector<T> &items)
    {
        bool isScheduled = false;
        {
            const std::lock_guard lock(m_mutex);
            m_items.insert(m_items.end(), std::make_move_iterator(items.begin()),
                           std::make_move_iterator(items.end()));
            isScheduled = std::exchange(m_isScheduled, true);
        }
        if (!isScheduled)
            schedule();
    }

private:
    void schedule()
    {
        asio::post(m_context, [this] { deliver(); });
    }

    void deliver()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_batch.swap(m_items);
            m_isScheduled = false;
        }
        m_handler(m_batch);
        m_batch.clear();
    }

    asio::io_context &m_context;
    Handler m_handler;
    std::mutex m_mutex;
    std::vector<T> m_items;
    bool m_isScheduled = false;
    std::vector<T> m_batch;
};

} // namespace berylridge
