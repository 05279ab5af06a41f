#include "AdminHttpServer.h"

#include "berylridge/Support/Hash.h"

#include <utility>

namespace berylridge {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";
constexpr const char *plainText = "text/plain; charset=utf-8";
constexpr const char *prometheusText = "text/plain; version=0.0.4; charset=utf-8";

StringResponse textResponse(http::status status, const char *type, std::string text)
{
    StringResponse response;
    response.result(status);
    response.set(http::field::content_type, type);
    response.body() = std::move(text);
    return response;
}

} // namespace

AdminHttpServer::AdminHttpServer(asio::io_context &context, Handlers handlers)
    : m_handlers(std::move(handlers))
    , m_listener(context, {},
                 [this](const StringRequest &request) { return handleRequest(request); })
{
}

StringResponse AdminHttpServer::handleRequest(const StringRequest &request) const
{
    const std::string_view target = view(request.target());
    if (target == "/rpc")
        return handleRpcRequest(request);
    if (request.method() != http::verb::get && request.method() != http::verb::head)
        return textResponse(http::status::method_not_allowed, plainText, "only GET\n");
    if (target == "/healthz")
        return textResponse(http::status::ok, plainText, "ok\n");
    if (target == "/readyz") {
        const bool isReady = m_handlers.isReady();
        return textResponse(isReady ? http::status::ok : http::status::service_unavailable,
                            plainText, isReady ? "ready\n" : "not ready\n");
    }
    if (target == "/metrics")
        return textResponse(http::status::ok, prometheusText, m_handlers.metrics());
    return textResponse(http::status::not_found, plainText, "no such page\n");
}

StringResponse AdminHttpServer::handleRpcRequest(const StringRequest &request) const
{
    if (!m_handlers.rpc)
        return textResponse(http::status::not_found, plainText, "no such page\n");
    if (request.method() != http::verb::post)
        return textResponse(http::status::method_not_allowed, plainText, "only POST\n");
    const bool isAllowed = isOperator(request);
    std::string body = m_handlers.rpc(request.body(), isAllowed);
    if (!isAllowed)
        return textResponse(http::status::unauthorized, "application/json", std::move(body));
    const bool isNotification = body.empty();
    return textResponse(isNotification ? http::status::no_content : http::status::ok,
                        "application/json", std::move(body));
}

bool AdminHttpServer::isOperator(const StringRequest &request) const
{
    const std::string_view credentials = view(request[http::field::authorization]);
    return credentials.starts_with(bearerPrefix)
        && matchesDigest(credentials.substr(bearerPrefix.size()), m_handlers.operatorsKeyDigest);
}

} // namespace berylridge
