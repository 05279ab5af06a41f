// Declares short names for the parts of Asio and Beast that this library uses.
#pragma once

#include "berylridge/Support/Endpoint.h"
#include "berylridge/Support/Expected.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string_view>

namespace berylridge {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

using StringRequest = http::request<http::string_body>;
using StringResponse = http::response<http::string_body>;

inline std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

inline beast::string_view beastView(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Converts an endpoint to Asio's type. Returns the reason if the address is not an IP address.
template <typename Protocol>
Expected<typename Protocol::endpoint> asioEndpoint(const Endpoint &endpoint)
{
    error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error)
        return Reason {endpoint.address + ": not an IP address"};
    return typename Protocol::endpoint(address, endpoint.port);
}

} // namespace berylridge
