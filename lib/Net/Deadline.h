// Implements a deadline that is moved often and seldom reached.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <utility>

namespace berylridge {

/// Postponing the deadline only stores the new time; when the timer fires, it checks whether the
/// deadline is due and otherwise waits again. Re-arming an Asio timer for each read of a stream
/// would cost two queue operations per read.
class Deadline : public std::enable_shared_from_this<Deadline>
{
public:
    using Clock = std::chrono::steady_clock;

    explicit Deadline(asio::io_context &context)
        : m_timer(context)
    {
    }

    /// Calls `expired` once at the given time, unless the deadline is moved or cleared before.
    void set(Clock::time_point due, std::function<void()> expired)
    {
        m_due = due;
        m_expired = std::move(expired);
        if (!m_isArmed || due < m_timer.expiry())
            arm();
    }

    /// Changes the time and keeps the callback.
    void move(Clock::time_point due)
    {
        m_due = due;
        if (m_isArmed && due < m_timer.expiry())
            arm();
    }

    void clear() { m_expired = nullptr; }

    /// Clears the callback and cancels the timer, so that it doesn't keep an io_context running.
    void stop()
    {
        clear();
        m_isArmed = false;
        m_timer.cancel();
    }

private:
    void arm()
    {
        m_isArmed = true;
        m_timer.expires_at(m_due); // Cancels an earlier wait.
        m_timer.async_wait([self = weak_from_this()](error_code error) {
            const auto deadline = self.lock();
            if (deadline && error != asio::error::operation_aborted)
                deadline->fire();
        });
    }

    void fire()
    {
        m_isArmed = false;
        if (!m_expired)
            return;
        if (Clock::now() < m_due) {
            arm();
            return;
        }
        const auto expired = std::exchange(m_expired, nullptr);
        expired();
    }

    asio::steady_timer m_timer;
    Clock::time_point m_due {};
    std::function<void()> m_expired;
    bool m_isArmed = false;
};

} // namespace berylridge
