#include "CallerRequest.h"

#include "berylridge/Support/Hash.h"

#include <algorithm>
#include <array>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <cmath>

namespace berylridge {

namespace {

constexpr std::string_view pathPrefix = "/v1/services/";
constexpr std::string_view keysPath = "/v1/idempotency-keys";
constexpr std::size_t maxRequestIdLength = 128;
constexpr std::size_t maxIdempotencyKeyLength = 255;
/// Cost hints and waits (in seconds) above these limits carry no useful information and are
/// ignored.
constexpr double maxCostHint = 86400;
constexpr std::uint64_t maxQueueWaitSeconds = 86400;

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

bool isValidId(std::string_view text, std::size_t limit)
{
    return !text.empty() && text.size() <= limit && isVisibleAscii(text);
}

/// Returns the text after the prefix, which is compared case-insensitively; nothing if the text
/// doesn't start with it.
std::optional<std::string_view> afterPrefix(std::string_view text, std::string_view prefix)
{
    if (text.size() < prefix.size()
        || !beast::iequals(beastView(text.substr(0, prefix.size())), beastView(prefix)))
        return std::nullopt;
    return text.substr(prefix.size());
}

std::optional<double> costHintOf(const StringRequest &request)
{
    const std::string_view text = view(request[beastView(fields::costHint)]);
    double hint = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), hint);
    const bool isWhole = error == std::errc() && end == text.data() + text.size();
    if (!isWhole || !std::isfinite(hint) || hint < 0 || hint > maxCostHint)
        return std::nullopt;
    return hint;
}

/// Parses `Prefer: wait=N` (RFC 7240) and ignores other preferences.
std::optional<Duration> maxQueueWaitOf(const StringRequest &request)
{
    std::string_view rest = view(request["Prefer"]);
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find_first_of(",;"), rest.size());
        std::string_view part = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 1, rest.size()));
        part.remove_prefix(std::min(part.find_first_not_of(' '), part.size()));
        const auto value = afterPrefix(part, "wait=");
        std::uint64_t seconds = 0;
        if (value
            && std::from_chars(value->data(), value->data() + value->size(), seconds).ec
                == std::errc()
            && seconds <= maxQueueWaitSeconds)
            return std::chrono::seconds(seconds);
    }
    return std::nullopt;
}

Problem badRequest(std::string type, std::string title)
{
    return {400, std::move(type), std::move(title), Verdict::NotRun, std::nullopt};
}

/// Splits "/v1/services/{service}/{path...}". Returns false if the request target has another form.
bool parseRequestTarget(std::string_view target, RequestArrived &arrived)
{
    if (!target.starts_with(pathPrefix))
        return false;
    target.remove_prefix(pathPrefix.size());
    const std::size_t end = target.find('/');
    if (end == 0 || end == std::string_view::npos)
        return false;
    const std::string_view service = target.substr(0, end);
    if (service.find_first_of("?#%") != std::string_view::npos)
        return false;
    arrived.service = ServiceId(service);
    arrived.path = std::string(target.substr(end));
    return true;
}

} // namespace

std::string credentialOf(const StringRequest &request)
{
    const auto key = afterPrefix(view(request[http::field::authorization]), "Bearer ");
    return std::string(key.value_or(""));
}

std::variant<RequestArrived, Problem> readCallerRequest(const StringRequest &request,
                                                        std::string_view generatedId)
{
    RequestArrived arrived;
    const bool isKeyRequest
        = request.method() == http::verb::post && view(request.target()) == keysPath;
    if (!isKeyRequest && !parseRequestTarget(view(request.target()), arrived))
        return Problem {404, "unknown-path", "the path is not /v1/services/{service}/{path}",
                        Verdict::NotRun, std::nullopt};
    const std::string_view id = view(request[beastView(fields::requestId)]);
    if (!id.empty() && !isValidId(id, maxRequestIdLength))
        return badRequest("bad-request-id", "X-Request-Id must be 1 to 128 visible characters");
    if (request.count(beastView(fields::idempotencyKey)) > 1)
        return badRequest("bad-idempotency-key", "Idempotency-Key is given more than once");
    if (request.count(beastView(fields::idempotencyKey)) == 1) {
        const std::string_view key = view(request[beastView(fields::idempotencyKey)]);
        if (!isValidId(key, maxIdempotencyKeyLength))
            return badRequest("bad-idempotency-key",
                              "Idempotency-Key must be 1 to 255 visible characters");
        arrived.idempotencyKey = std::string(key);
    }
    arrived.requestId = std::string(id.empty() ? generatedId : id);
    arrived.credential = credentialOf(request);
    arrived.method = std::string(view(request.method_string()));
    arrived.bodyHash = hash64(request.body());
    arrived.bodyBytes = request.body().size();
    arrived.costHint = costHintOf(request);
    arrived.maxQueueWait = maxQueueWaitOf(request);
    return arrived;
}

std::optional<Problem> problemOfParserError(const error_code &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return Problem {431, "head-too-large", "the request head is too large", Verdict::NotRun,
                        std::nullopt};
    if (error == http::error::body_limit)
        return Problem {413, "body-too-large", "the request body is too large", Verdict::NotRun,
                        std::nullopt};
    if (error == http::error::bad_chunk || error == http::error::bad_chunk_extension)
        return badRequest("bad-chunking", "the chunked body is malformed");
    if (error == http::error::end_of_stream || error == http::error::partial_message)
        return std::nullopt;
    if (error.category() == make_error_code(http::error::end_of_stream).category())
        return badRequest("bad-request", "the request is not HTTP/1.1: " + error.message());
    return std::nullopt;
}

bool isHopByHop(std::string_view field, std::string_view connection)
{
    static constexpr auto names = std::to_array<std::string_view>(
        {"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
         "Proxy-Connection", "TE", "Trailer", "Transfer-Encoding", "Upgrade"});
    const auto isField
        = [&](std::string_view name) { return beast::iequals(beastView(name), beastView(field)); };
    if (std::any_of(names.begin(), names.end(), isField))
        return true;
    return !connection.empty() && http::token_list(beastView(connection)).exists(beastView(field));
}

} // namespace berylridge
