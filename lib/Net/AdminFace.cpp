#include "AdminFace.h"

#include "berylridge/Support/Hash.h"

#include <utility>

namespace berylridge {

namespace {

constexpr std::string_view bearer = "Bearer ";
constexpr const char *plainText = "text/plain; charset=utf-8";
constexpr const char *prometheusText = "text/plain; version=0.0.4; charset=utf-8";

StringResponse textAnswer(http::status status, const char *type, std::string text)
{
    StringResponse response;
    response.result(status);
    response.set(http::field::content_type, type);
    response.body() = std::move(text);
    return response;
}

} // namespace

AdminFace::AdminFace(asio::io_context &context, Sources sources)
    : m_sources(std::move(sources))
    , m_listener(context, {}, [this](const StringRequest &request) { return answer(request); })
{
}

StringResponse AdminFace::answer(const StringRequest &request) const
{
    const std::string_view target = view(request.target());
    if (target == "/rpc")
        return answerRpc(request);
    if (request.method() != http::verb::get && request.method() != http::verb::head)
        return textAnswer(http::status::method_not_allowed, plainText, "only GET\n");
    if (target == "/healthz")
        return textAnswer(http::status::ok, plainText, "ok\n");
    if (target == "/readyz") {
        const bool isReady = m_sources.isReady();
        return textAnswer(isReady ? http::status::ok : http::status::service_unavailable, plainText,
                          isReady ? "ready\n" : "not ready\n");
    }
    if (target == "/metrics")
        return textAnswer(http::status::ok, prometheusText, m_sources.metrics());
    return textAnswer(http::status::not_found, plainText, "no such page\n");
}

StringResponse AdminFace::answerRpc(const StringRequest &request) const
{
    if (!m_sources.rpc)
        return textAnswer(http::status::not_found, plainText, "no such page\n");
    if (request.method() != http::verb::post)
        return textAnswer(http::status::method_not_allowed, plainText, "only POST\n");
    const bool isAllowed = isOperator(request);
    std::string body = m_sources.rpc(request.body(), isAllowed);
    if (!isAllowed)
        return textAnswer(http::status::unauthorized, "application/json", std::move(body));
    const bool isNotification = body.empty();
    return textAnswer(isNotification ? http::status::no_content : http::status::ok,
                      "application/json", std::move(body));
}

bool AdminFace::isOperator(const StringRequest &request) const
{
    const std::string_view given = view(request[http::field::authorization]);
    return given.starts_with(bearer)
        && matchesDigest(given.substr(bearer.size()), m_sources.operatorsKeyDigest);
}

} // namespace berylridge
