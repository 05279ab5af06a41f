// Parses a caller's request.
#pragma once

#include "berylridge/Net/Asio.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <cstdint>
#include <limits>

namespace berylridge {

/// Fails with the error header_limit at a field that is too large to be stored, where Beast's own
/// parser throws. Discards the fields of a trailer: only fields of the head have a meaning here.
class RequestParser final : public http::request_parser<http::string_body>
{
public:
    /// Returns the approximate memory of the request, with its head and the body received so far.
    std::size_t memoryBytes() const
    {
        return m_fieldBytes + get().target().size() + get().body().size();
    }

private:
    /// Memory of a stored field beyond its name and value.
    static constexpr std::size_t fieldOverheadBytes = 128;
    /// Maximum size of a field's name, and of its value. Beast stores each size in 16 bits and
    /// includes two bytes of punctuation.
    static constexpr std::size_t maxFieldPartBytes = std::numeric_limits<std::uint16_t>::max() - 2;

    void on_field_impl(http::field name, beast::string_view nameText, // NOLINT: the library's name
                       beast::string_view value, error_code &error) override
    {
        if (is_header_done())
            return;
        if (std::max(nameText.size(), value.size()) > maxFieldPartBytes)
            error = http::error::header_limit;
        else
            get().insert(name, nameText, value);
        m_fieldBytes += fieldOverheadBytes + nameText.size() + value.size();
    }

    std::size_t m_fieldBytes = 0;
};

} // namespace berylridge
