// A value, or the reason why there is none, as the result of a function that can fail.
#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace berylridge {

/// An error message in lower case and without a full stop, which names the object and the place of
/// the failure.
struct Reason
{
    std::string text;
};

/// An optional value that carries the reason if it is empty. Callers must not discard it.
template <typename T>
class [[nodiscard]] Expected
{
public:
    Expected(T value)
        : m_value(std::move(value))
    {
    } // NOLINT: implicit on purpose, as in optional
    Expected(Reason reason)
        : m_reason(std::move(reason))
    {
    } // NOLINT: as above

    explicit operator bool() const { return m_value.has_value(); }
    bool hasValue() const { return m_value.has_value(); }

    const T &operator*() const &
    {
        assert(m_value && "accessing the value of an Expected that has none");
        return *m_value;
    }
    T &operator*() &
    {
        assert(m_value && "accessing the value of an Expected that has none");
        return *m_value;
    }
    T &&operator*() &&
    {
        assert(m_value && "accessing the value of an Expected that has none");
        return *std::move(m_value);
    }
    const T *operator->() const
    {
        assert(m_value && "accessing the value of an Expected that has none");
        return &*m_value;
    }

    /// Returns the reason why there is no value; empty if there is one.
    const std::string &failureReason() const { return m_reason.text; }

private:
    std::optional<T> m_value;
    Reason m_reason;
};

} // namespace berylridge
