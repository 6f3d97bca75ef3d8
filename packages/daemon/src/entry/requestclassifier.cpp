#include "entry/requestclassifier.h"

#include "lycheelanding/core/jsonlimits.h"
#include "lycheelanding/core/stablehash.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace lycheelanding::daemon::entry {

namespace {

using Json = nlohmann::json;

constexpr std::string_view chatCompletionsPath = "/v1/chat/completions";
/// Estimated mean length of a prompt token.
constexpr std::size_t bytesPerToken = 4;
constexpr std::uint64_t defaultAnswerTokens = 128;
/// Length of the beginning of a single-message prompt that counts as the prefix shared with other prompts.
constexpr std::size_t sharedPrefixBytes = 256;
constexpr std::size_t maxIdempotencyKeyBytes = 255;
/// Callers describe their tools by schemas, which are nested more deeply than the project's own documents.
constexpr std::size_t maxRequestDepth = 256;

core::Error malformed(const std::string &detail)
{
    return core::Error{core::ErrorKind::MalformedRequest, detail};
}

core::Result<std::chrono::milliseconds> timeoutOf(const http::HttpRequest &request, const configuration::Limits &limits)
{
    const auto text = request.headers.find(requestTimeoutHeader);
    if (!text) {
        return std::chrono::milliseconds(limits.defaultRequestTimeoutMs);
    }
    char *end = nullptr;
    const double seconds = std::strtod(text->c_str(), &end);
    if (text->empty() || *end != '\0' || !std::isfinite(seconds) || seconds <= 0.0) {
        return malformed("Request-Timeout is not a positive number of seconds");
    }
    constexpr double millisecondsPerSecond = 1000.0;
    const double milliseconds
        = std::min(seconds * millisecondsPerSecond, static_cast<double>(limits.maxRequestTimeoutMs));
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::max(milliseconds, 1.0)));
}

core::Result<std::uint8_t> urgencyOf(const http::HttpRequest &request)
{
    constexpr std::uint8_t defaultUrgency = 3;
    const auto text = request.headers.find(priorityHeader);
    if (!text) {
        return defaultUrgency;
    }
    const auto position = text->find("u=");
    if (position == std::string::npos || position + 2 >= text->size() || (*text)[position + 2] < '0'
        || (*text)[position + 2] > '7') {
        return malformed("Priority has no urgency from u=0 to u=7");
    }
    return static_cast<std::uint8_t>((*text)[position + 2] - '0');
}

/// The text of all messages except the last, or the beginning of the last if there is no other text.
std::string sharedPrefixOf(const Json &messages)
{
    std::string prefix;
    for (std::size_t index = 0; index + 1 < messages.size(); ++index) {
        prefix += messages[index].value("content", "");
    }
    return prefix.empty() ? messages.back().value("content", "").substr(0, sharedPrefixBytes) : prefix;
}

core::Status checkMessages(const Json &body)
{
    const auto found = body.find("messages");
    if (found == body.end() || !found->is_array() || found->empty()) {
        return malformed("the body has no messages");
    }
    for (const auto &message : *found) {
        if (!message.is_object() || !message.contains("content") || !message["content"].is_string()) {
            return malformed("a message has no content");
        }
    }
    return core::Done();
}

core::Status classifyModelRequest(const http::HttpRequest &request, const configuration::Document &document,
                                  ClassifiedRequest &classified)
{
    core::JsonLimits limits;
    limits.maxDepth = maxRequestDepth;
    if (core::exceedsLimits(request.body, limits)) {
        return malformed("the body has too many values or levels");
    }
    const auto body = Json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") || !body["model"].is_string()) {
        return malformed("the body is not a JSON object with a model");
    }
    if (const auto messages = checkMessages(body); !core::isOk(messages)) {
        return core::errorOf(messages);
    }
    const core::ModelId model(body["model"].get<std::string>());
    const bool isConfigured = std::any_of(document.models.begin(), document.models.end(),
                                          [&model](const auto &item) { return item.id == model; });
    if (!isConfigured) {
        return core::Error{core::ErrorKind::UnknownModel, "model \"" + model.text() + "\" is not configured"};
    }
    const auto answerTokens = body.value("max_tokens", Json(defaultAnswerTokens));
    if (!answerTokens.is_number_unsigned()) {
        return malformed("max_tokens is not a positive integer");
    }
    const auto prefix = sharedPrefixOf(body["messages"]);
    classified.promptTokens = request.body.size() / bytesPerToken;
    classified.route.model = model;
    classified.route.prefix = decisions::routing::PromptPrefix{core::stableHash(prefix), prefix.size() / bytesPerToken};
    classified.route.expectedTokens = classified.promptTokens + answerTokens.get<std::uint64_t>();
    return core::Done();
}

core::Status classifyServiceRequest(const http::HttpRequest &request, const configuration::Document &document,
                                    ClassifiedRequest &classified)
{
    const auto path = request.path();
    const auto *service = configuration::serviceOfPath(document, path);
    if (service == nullptr) {
        return core::Error{core::ErrorKind::UnknownRoute, "no service has the path " + std::string(path)};
    }
    const bool isUnsafeMethod = request.method == "POST" || request.method == "PATCH";
    classified.route.service = service->id;
    classified.isIdempotent = !isUnsafeMethod && !configuration::isNonIdempotent(*service, request.method, path);
    return core::Done();
}

core::Result<std::string> idempotencyKeyOf(const http::HttpRequest &request)
{
    const auto key = request.headers.find(idempotencyKeyHeader);
    if (!key) {
        return std::string();
    }
    if (key->empty() || key->size() > maxIdempotencyKeyBytes) {
        return malformed("Idempotency-Key is empty or longer than 255 bytes");
    }
    return *key;
}

} // namespace

core::Result<ClassifiedRequest> classifyRequest(const http::HttpRequest &request,
                                                const configuration::Document &document,
                                                const core::DataCentreId &localDataCentre)
{
    const auto organisation = core::OrganisationId(request.headers.find(organisationHeader).value_or(""));
    if (configuration::findOrganisation(document, organisation) == nullptr) {
        return core::Error{core::ErrorKind::UnknownOrganisation,
                           "organisation \"" + organisation.text() + "\" is not configured"};
    }
    if (request.body.size() > document.limits.maxBodyBytes) {
        return core::Error{core::ErrorKind::RequestTooLarge, "the body is over the configured limit"};
    }
    const auto timeout = timeoutOf(request, document.limits);
    const auto urgency = urgencyOf(request);
    const auto key = idempotencyKeyOf(request);
    if (!core::isOk(timeout)) {
        return core::errorOf(timeout);
    }
    if (!core::isOk(urgency)) {
        return core::errorOf(urgency);
    }
    if (!core::isOk(key)) {
        return core::errorOf(key);
    }

    ClassifiedRequest classified;
    classified.organisation = organisation;
    classified.timeout = core::valueOf(timeout);
    classified.urgency = core::valueOf(urgency);
    classified.idempotencyKey = core::valueOf(key);
    const bool isModelRequest = request.path() == chatCompletionsPath;
    const auto routed = isModelRequest ? classifyModelRequest(request, document, classified)
                                       : classifyServiceRequest(request, document, classified);
    if (!core::isOk(routed)) {
        return core::errorOf(routed);
    }
    if (!classified.idempotencyKey.empty()) {
        classified.isIdempotent = false;
    }
    classified.route.organisation = organisation;
    classified.route.localDataCentre = localDataCentre;
    classified.route.isIdempotent = classified.isIdempotent;
    return classified;
}

} // namespace lycheelanding::daemon::entry
