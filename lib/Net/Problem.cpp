#include "berylridge/Net/Problem.h"

#include <algorithm>
#include <json/json.h>

namespace berylridge {

namespace {

constexpr std::string_view typePrefix = "urn:berylridge:problem:";

std::int64_t wholeSeconds(Duration duration)
{
    return std::max<std::int64_t>(1, std::chrono::ceil<std::chrono::seconds>(duration).count());
}

std::string problemBody(const Problem &problem, std::string_view requestId)
{
    Json::Value body;
    body["type"] = std::string(typePrefix) + problem.type;
    body["title"] = problem.title;
    body["status"] = problem.status;
    body["verdict"] = std::string(verdictName(problem.verdict));
    body["requestId"] = std::string(requestId);
    if (problem.retryAfter) {
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(*problem.retryAfter);
        body["retryAfterMs"] = Json::Int64(wait.count());
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, body);
}

} // namespace

Problem problemOf(const Refuse &refuse)
{
    return {refuse.status, refuse.type, refuse.title, refuse.verdict, refuse.retryAfter};
}

StringResponse problemResponse(const Problem &problem, std::string_view requestId)
{
    StringResponse response;
    response.version(11);
    response.result(problem.status);
    response.set(http::field::content_type, "application/problem+json");
    response.set("X-Request-Id", beastView(requestId));
    response.set("Berylridge-Verdict", beastView(verdictName(problem.verdict)));
    if (problem.retryAfter)
        response.set(http::field::retry_after, std::to_string(wholeSeconds(*problem.retryAfter)));
    response.body() = problemBody(problem, requestId);
    response.prepare_payload();
    return response;
}

} // namespace berylridge
