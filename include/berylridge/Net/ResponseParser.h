// Parses a response of a target, a node or the platform.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/beast/http/parser.hpp>

namespace berylridge {

/// Rejects what Beast's own parser accepts: a status code that is out of range with the error
/// bad_status, a folded field line with bad_field. Stores a list of equal lengths as one length.
template <typename Body>
class ResponseParser final : public http::response_parser<Body>
{
public:
    /// Maximum number of interim responses to a request.
    static constexpr int maxInterimResponses = 32;

    /// Returns whether the head is one of an interim response, which another response follows.
    bool isInterim() const
    {
        const unsigned status = this->get().result_int();
        return status < 200 && status != 101;
    }

private:
    /// Range of valid status codes (RFC 9110, section 15).
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

    void on_field_impl(http::field name, beast::string_view nameText, // NOLINT: the library's name
                       beast::string_view value, error_code &error) override
    {
        // Another reader takes the continuation of a folded line for a field of its own, which may
        // give the body another length. RFC 9112, section 5.2, lets a gateway reject the response.
        if (isFolded(nameText, value)) {
            error = http::error::bad_field;
            return;
        }
        // A recipient rejects the list or replaces it (RFC 9110, section 8.6).
        if (name == http::field::content_length)
            this->get().set(name, value.substr(0, value.find_first_of(", \t")));
        else
            this->get().insert(name, nameText, value);
    }

    /// Returns whether the value isn't on the line of its name. Beast passes views of the input,
    /// and a copy of the value if it has joined several lines.
    static bool isFolded(beast::string_view name, beast::string_view value)
    {
        const char *begin = name.data() + name.size() + 1; // Behind the colon.
        while (*begin == ' ' || *begin == '\t')
            ++begin;
        return begin != value.data();
    }
};

} // namespace berylridge
