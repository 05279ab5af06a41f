// Parses a response of a target, a node or the platform.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/beast/http/parser.hpp>

namespace berylridge {

/// Fails with the error bad_status at a status code that is out of range, which Beast's own parser
/// accepts.
template <typename Body>
class ResponseParser final : public http::response_parser<Body>
{
private:
    /// RFC 9110, section 15: all valid status codes are within this range.
    static constexpr int minStatus = 100;
    static constexpr int maxStatus = 599;

    void on_response_impl(int status, beast::string_view reason, // NOLINT: the library's name
                          int version, error_code &error) override
    {
        if (status < minStatus || status > maxStatus) {
            error = http::error::bad_status;
            return;
        }
        auto &response = this->get();
        response.result(static_cast<unsigned>(status));
        response.version(static_cast<unsigned>(version));
        response.reason(reason);
    }
};

} // namespace berylridge
