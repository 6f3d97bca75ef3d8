#include "entry/requestclassifier.h"

#include <gtest/gtest.h>

namespace lycheelanding::daemon::entry {

namespace {

configuration::Document document()
{
    configuration::Document document;
    document.organisations.push_back({core::OrganisationId("fabricators"), 1.0, 8});
    document.models.push_back({core::ModelId("drafting"), "1"});
    configuration::Service service;
    service.id = core::ServiceId("orders");
    service.pathPrefix = "/orders";
    service.nonIdempotentRoutes.push_back({"GET", "/orders/take"});
    document.services.push_back(service);
    return document;
}

http::HttpRequest request(std::string method, std::string target, std::string body = "")
{
    http::HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    request.headers.add("Organisation", "fabricators");
    return request;
}

core::Result<ClassifiedRequest> classified(const http::HttpRequest &request)
{
    return classifyRequest(request, document(), core::DataCentreId("kolkata-a"));
}

} // namespace

TEST(RequestClassifierTest, idempotencyFollowsRouteMethodAndKey)
{
    struct Case
    {
        const char *method;
        const char *target;
        const char *key;
        bool isIdempotent;
    };
    for (const auto &[method, target, key, isIdempotent] : {
             Case{"GET", "/orders/status", "", true},
             Case{"GET", "/orders/take/1", "", false},
             Case{"POST", "/orders/status", "", false},
             Case{"PUT", "/orders/status", "", true},
             Case{"GET", "/orders/status", "k", false},
         }) {
        auto sent = request(method, target);
        if (*key != '\0') {
            sent.headers.add("Idempotency-Key", key);
        }
        const auto result = classified(sent);
        ASSERT_TRUE(core::isOk(result)) << method << target;
        EXPECT_EQ(core::valueOf(result).isIdempotent, isIdempotent) << method << target << key;
        EXPECT_EQ(core::valueOf(result).route.isIdempotent, isIdempotent);
    }
}

TEST(RequestClassifierTest, eachInvalidRequestFailsWithItsErrorKind)
{
    const auto withHeader = [](const char *name, const char *value) {
        auto sent = request("GET", "/orders/x");
        sent.headers.add(name, value);
        return sent;
    };
    auto withoutOrganisation = http::HttpRequest{"GET", "/orders/x", {}, ""};
    auto tooLarge = request("GET", "/orders/x", std::string(std::size_t{2} * 1024 * 1024, 'x'));
    using core::ErrorKind;
    const std::vector<std::pair<http::HttpRequest, ErrorKind>> cases{
        {withoutOrganisation, ErrorKind::UnknownOrganisation},
        {tooLarge, ErrorKind::RequestTooLarge},
        {request("GET", "/elsewhere"), ErrorKind::UnknownRoute},
        {withHeader("Request-Timeout", "soon"), ErrorKind::MalformedRequest},
        {withHeader("Request-Timeout", "-1"), ErrorKind::MalformedRequest},
        {withHeader("Priority", "high"), ErrorKind::MalformedRequest},
        {withHeader("Idempotency-Key", ""), ErrorKind::MalformedRequest},
        {request("POST", "/v1/chat/completions", "{"), ErrorKind::MalformedRequest},
        {request("POST", "/v1/chat/completions", R"({"model":"drafting"})"), ErrorKind::MalformedRequest},
        {request("POST", "/v1/chat/completions", R"({"model":"drafting","messages":[{}]})"),
         ErrorKind::MalformedRequest},
        {request("POST", "/v1/chat/completions", R"({"model":"other","messages":[{"content":"x"}]})"),
         ErrorKind::UnknownModel},
    };
    for (const auto &[sent, kind] : cases) {
        const auto result = classified(sent);
        ASSERT_FALSE(core::isOk(result)) << sent.target << sent.body.substr(0, 80);
        EXPECT_EQ(core::errorOf(result).kind, kind) << core::errorOf(result).detail;
    }
}

TEST(RequestClassifierTest, promptsThatDifferInTheLastMessageHaveTheSamePrefix)
{
    const auto prefixOf = [](const std::string &lastMessage) {
        const auto body = R"({"model":"drafting","max_tokens":9,"messages":[{"content":"rules"},{"content":")"
            + lastMessage + R"("}]})";
        return core::valueOf(classified(request("POST", "/v1/chat/completions", body))).route.prefix->hash;
    };
    EXPECT_EQ(prefixOf("a"), prefixOf("b"));
}

TEST(RequestClassifierTest, timeoutIsLimitedByTheConfiguration)
{
    auto sent = request("GET", "/orders/x");
    sent.headers.add("Request-Timeout", "1e9");
    EXPECT_EQ(core::valueOf(classified(sent)).timeout,
              std::chrono::milliseconds(document().limits.maxRequestTimeoutMs));
}

} // namespace lycheelanding::daemon::entry
