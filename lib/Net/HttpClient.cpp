#include "berylridge/Net/HttpClient.h"

#include "berylridge/Net/ResponseParser.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <utility>

namespace berylridge {

namespace {

/// Maximum size of a response's head, a chunk's head or a trailer. Beast throws at a larger field.
constexpr std::size_t maxBufferBytes = 64 << 10;

AttemptFailure failureOf(const error_code &error)
{
    if (error == asio::error::connection_refused)
        return AttemptFailure::ConnectRefused;
    if (error == beast::error::timeout)
        return AttemptFailure::Timeout;
    if (error.category() == make_error_code(http::error::end_of_stream).category()
        && error != http::error::end_of_stream)
        return AttemptFailure::InvalidResponse;
    return AttemptFailure::Reset;
}

} // namespace

struct HttpClient::Connection
{
    explicit Connection(asio::io_context &context)
        : stream(context)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer {maxBufferBytes};
    std::shared_ptr<const StringRequest> request;
    std::optional<ResponseParser<http::string_body>> parser;
    int interimResponses = 0; ///< Number of the interim responses to the current call.
};

HttpClient::HttpClient(asio::io_context &context, Endpoint endpoint, std::uint64_t responseLimit)
    : m_context(context)
    , m_endpoint(std::move(endpoint))
    , m_responseLimit(responseLimit)
{
}

void HttpClient::get(std::string_view target, Duration timeout, CompletionHandler done)
{
    enqueue(http::verb::get, target, {}, timeout, std::move(done));
}

void HttpClient::post(std::string_view target, std::string body, Duration timeout,
                      CompletionHandler done)
{
    enqueue(http::verb::post, target, std::move(body), timeout, std::move(done));
}

void HttpClient::enqueue(http::verb method, std::string_view target, std::string body,
                         Duration timeout, CompletionHandler done)
{
    if (m_calls.size() >= queueLimit) {
        done({AttemptFailure::Timeout, 0, {}});
        return;
    }
    StringRequest request(method, beastView(target), 11);
    request.set(http::field::host, m_endpoint.address + ":" + std::to_string(m_endpoint.port));
    if (method == http::verb::post)
        request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    m_calls.push_back({std::make_shared<const StringRequest>(std::move(request)), timeout,
                       std::move(done), false});
    if (m_calls.size() == 1)
        startCall();
}

void HttpClient::startCall()
{
    if (m_connection)
        send();
    else
        connect();
}

void HttpClient::connect()
{
    const auto endpoint = asioEndpoint<tcp>(m_endpoint);
    if (!endpoint) {
        asio::post(m_context, [self = shared_from_this()] {
            if (!self->m_calls.empty())
                self->complete({AttemptFailure::ConnectRefused, 0, {}});
        });
        return;
    }
    m_hasServedCall = false;
    m_connection = std::make_shared<Connection>(m_context);
    m_connection->stream.expires_after(m_calls.front().timeout);
    m_connection->stream.async_connect(
        *endpoint, [self = shared_from_this(), connection = m_connection](error_code error) {
            error_code ignored;
            connection->stream.socket().set_option(tcp::no_delay(true), ignored);
            self->onOperationDone(connection, error, &HttpClient::send);
        });
}

void HttpClient::send()
{
    m_connection->stream.expires_after(m_calls.front().timeout);
    m_connection->request = m_calls.front().request;
    m_connection->interimResponses = 0;
    http::async_write(
        m_connection->stream, *m_connection->request,
        [self = shared_from_this(), connection = m_connection](error_code error, std::size_t) {
            self->onOperationDone(connection, error, &HttpClient::receive);
        });
}

void HttpClient::receive()
{
    m_connection->parser.emplace();
    m_connection->parser->body_limit(m_responseLimit);
    // This release of Beast loses the error of a length above the limit if it reads the head and
    // the body in one operation.
    http::async_read_header(
        m_connection->stream, m_connection->buffer, *m_connection->parser,
        [self = shared_from_this(), connection = m_connection](error_code error, std::size_t) {
            self->onOperationDone(connection, error, &HttpClient::receiveBody);
        });
}

void HttpClient::receiveBody()
{
    const auto &parser = *m_connection->parser;
    if (parser.isInterim()) {
        if (++m_connection->interimResponses > parser.maxInterimResponses)
            onFailure(AttemptFailure::InvalidResponse);
        else
            receive();
        return;
    }
    http::async_read(
        m_connection->stream, m_connection->buffer, *m_connection->parser,
        [self = shared_from_this(), connection = m_connection](error_code error, std::size_t) {
            self->onOperationDone(connection, error, &HttpClient::onResponse);
        });
}

void HttpClient::onOperationDone(const std::shared_ptr<Connection> &connection, error_code error,
                                 void (HttpClient::*next)())
{
    if (m_connection != connection || m_calls.empty())
        return; // The connection was closed meanwhile.
    if (error)
        onFailure(failureOf(error));
    else
        (this->*next)();
}

void HttpClient::closeConnection()
{
    if (const auto connection = std::exchange(m_connection, nullptr))
        connection->stream.close();
}

void HttpClient::onFailure(AttemptFailure failure)
{
    closeConnection();
    const bool hadServedCall = std::exchange(m_hasServedCall, false);
    // The server may have closed the reused connection while the call was being sent.
    if (hadServedCall && failure == AttemptFailure::Reset && !m_calls.front().isRetried) {
        m_calls.front().isRetried = true;
        startCall();
        return;
    }
    complete({failure, 0, {}});
}

void HttpClient::onResponse()
{
    auto &response = m_connection->parser->get();
    HttpReply reply {std::nullopt, response.result_int(), std::move(response.body())};
    m_hasServedCall = m_connection->parser->keep_alive() && m_connection->buffer.size() == 0;
    if (m_hasServedCall)
        m_connection->stream.expires_never();
    else
        closeConnection();
    complete(std::move(reply));
}

void HttpClient::complete(HttpReply reply)
{
    const auto done = std::move(m_calls.front().done);
    m_calls.pop_front();
    const auto self = shared_from_this(); // Keeps this client alive if done() closes it.
    if (!m_calls.empty())
        startCall();
    done(std::move(reply));
}

void HttpClient::close()
{
    m_calls.clear();
    closeConnection();
}

} // namespace berylridge
