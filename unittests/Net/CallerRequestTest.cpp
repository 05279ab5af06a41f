#include "CallerRequest.h"

#include <gtest/gtest.h>

namespace berylridge {
namespace {

StringRequest requestFor(const char *target)
{
    StringRequest request(http::verb::post, target, 11);
    request.set(http::field::authorization, "Bearer secret");
    return request;
}

RequestArrived parseAccepted(const StringRequest &request)
{
    auto read = readCallerRequest(request, "fresh");
    const auto *problem = std::get_if<Problem>(&read);
    EXPECT_EQ(problem, nullptr) << problem->title;
    return problem == nullptr ? std::get<RequestArrived>(read) : RequestArrived {};
}

std::string rejectionType(const StringRequest &request)
{
    const auto read = readCallerRequest(request, "fresh");
    const auto *problem = std::get_if<Problem>(&read);
    return problem == nullptr ? "" : problem->type;
}

TEST(CallerRequestTest, parsesRequestFields)
{
    StringRequest request = requestFor("/v1/services/shop/orders/7?x=1");
    request.set("X-Request-Id", "r-1");
    request.set("Idempotency-Key", "k-1");
    request.set("Prefer", "respond-async, wait=3");
    request.set("X-Cost-Hint", "1.5");
    request.body() = "clay";
    const RequestArrived arrived = parseAccepted(request);
    EXPECT_EQ(arrived.service, ServiceId("shop"));
    EXPECT_EQ(arrived.path, "/orders/7?x=1");
    EXPECT_EQ(arrived.method, "POST");
    EXPECT_EQ(arrived.credential, "secret");
    EXPECT_EQ(arrived.requestId, "r-1");
    EXPECT_EQ(arrived.idempotencyKey, "k-1");
    EXPECT_EQ(arrived.maxQueueWait, Duration(std::chrono::seconds(3)));
    EXPECT_EQ(arrived.costHint, 1.5);
    EXPECT_EQ(arrived.bodyBytes, 4U);
    EXPECT_EQ(parseAccepted(requestFor("/v1/services/shop/")).requestId, "fresh");
}

TEST(CallerRequestTest, rejectsUnknownPaths)
{
    for (const char *target : {"/", "/v1/services/", "/v1/services/shop", "/v1/services//x",
                               "/v1/services/a?b/c", "*", "http://h/v1/services/a/b"})
        EXPECT_EQ(rejectionType(requestFor(target)), "unknown-path") << target;
}

TEST(CallerRequestTest, rejectsInvalidKeysAndIds)
{
    StringRequest request = requestFor("/v1/services/shop/x");
    request.insert("Idempotency-Key", "a");
    request.insert("Idempotency-Key", "b");
    EXPECT_EQ(rejectionType(request), "bad-idempotency-key");
    request = requestFor("/v1/services/shop/x");
    request.set("Idempotency-Key", "");
    EXPECT_EQ(rejectionType(request), "bad-idempotency-key");
    request = requestFor("/v1/services/shop/x");
    request.set("X-Request-Id", std::string(129, 'x'));
    EXPECT_EQ(rejectionType(request), "bad-request-id");
}

TEST(CallerRequestTest, ignoresInvalidHints)
{
    for (const char *hint : {"nan", "inf", "-1", "1e999", "2x", ""}) {
        StringRequest request = requestFor("/v1/services/shop/x");
        request.set("X-Cost-Hint", hint);
        request.set("Prefer", "wait=soon");
        EXPECT_EQ(parseAccepted(request).costHint, std::nullopt) << hint;
        EXPECT_EQ(parseAccepted(request).maxQueueWait, std::nullopt);
    }
}

TEST(CallerRequestTest, recognizesHopByHopFields)
{
    EXPECT_TRUE(isHopByHop("transfer-encoding", ""));
    EXPECT_TRUE(isHopByHop("X-Private", "close, x-private"));
    EXPECT_FALSE(isHopByHop("Content-Type", "close"));
}

} // namespace
} // namespace berylridge
