// Serializes HTTP heads and complete messages into the bytes that are sent.
#pragma once

#include "berylridge/Net/Asio.h"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/http/serializer.hpp>
#include <string>

namespace berylridge {

/// Appends the output of Beast's serializer for the complete message, or for its head alone.
template <bool isRequest, typename Body, typename Fields>
void appendSerializedHttp(const http::message<isRequest, Body, Fields> &message, bool isHeadOnly,
                          std::string &out)
{
    http::serializer<isRequest, Body, Fields> serializer(message);
    serializer.split(isHeadOnly);
    error_code error;
    while (!error && !serializer.is_done() && !(isHeadOnly && serializer.is_header_done())) {
        std::size_t size = 0;
        serializer.next(error, [&](error_code &, const auto &buffers) {
            for (const asio::const_buffer buffer : beast::buffers_range_ref(buffers)) {
                out.append(static_cast<const char *>(buffer.data()), buffer.size());
                size += buffer.size();
            }
        });
        serializer.consume(size);
    }
}

template <bool isRequest, typename Body, typename Fields>
std::string serializeHttp(const http::message<isRequest, Body, Fields> &message)
{
    std::string out;
    appendSerializedHttp(message, false, out);
    return out;
}

} // namespace berylridge
