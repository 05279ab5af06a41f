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
private:
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
    }
};

} // namespace berylridge
