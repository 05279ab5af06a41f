// A value, or the reason why there is none.
#pragma once

#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace berylridge {

/// Why something failed, in lower case and without a full stop, naming the thing and the place.
struct Reason
{
    std::string text;
};

/// std::optional with the last reason. The caller must look at it.
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
        assert(m_value && "reading a value that is not there");
        return *m_value;
    }
    T &operator*() &
    {
        assert(m_value && "reading a value that is not there");
        return *m_value;
    }
    T &&operator*() &&
    {
        assert(m_value && "reading a value that is not there");
        return *std::move(m_value);
    }
    const T *operator->() const
    {
        assert(m_value && "reading a value that is not there");
        return &*m_value;
    }

    /// Empty where there is a value.
    const std::string &failureReason() const { return m_reason.text; }

private:
    std::optional<T> m_value;
    Reason m_reason;
};

} // namespace berylridge
