#include "lycheelanding/forwarding/requestterms.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

using decisions::quarantine::RequestFeature;
using decisions::quarantine::RequestFeatures;

/// The answer is sent this long before the caller's timeout, so that it arrives in time: the time of a message to the
/// caller plus the processing time of the entry.
constexpr std::chrono::milliseconds answerMargin{20};

/// Repeats of a request have the same host, target, organisation, body and shared parts of the prompt. Its own part may
/// belong to the attempt alone.
RequestFeature digestOf(const http::HttpRequest &request, const std::string &host,
                        const core::OrganisationId &organisation, const RequestFeatures &sharedParts)
{
    const std::string parts = joinedText(sharedParts);
    std::uint64_t hash = 0;
    for (const std::string_view text :
         {std::string_view(host), std::string_view(request.target), std::string_view(organisation.text()),
          std::string_view(request.body), std::string_view(parts)}) {
        hash = core::mixBits(hash ^ core::stableHash(text));
    }
    constexpr int hexadecimal = 16;
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), hash, hexadecimal).ptr;
    // No part of a prompt has a colon in its id.
    return RequestFeature("request:" + std::string(digits.data(), end));
}

} // namespace

core::Result<RequestTerms> requestTerms(const http::HttpRequest &request, const std::string &attemptName,
                                        const RouteTablePointer &routes, const FieldNames &names,
                                        core::TimePoint arrival)
{
    if (!routes) {
        return core::Error{core::ErrorKind::StoreUnavailable, "no configuration has been read yet"};
    }
    RequestTerms terms;
    const auto host = request.headers.find("Host").value_or(std::string());
    terms.route = routes->find(host, request.path());
    if (terms.route == nullptr) {
        return core::Error{core::ErrorKind::UnknownRoute, "no route has the host and path"};
    }
    const auto organisation
        = routes->organisationFor(*terms.route, request.headers.find(names.key).value_or(std::string()));
    if (!core::isOk(organisation)) {
        return core::errorOf(organisation);
    }
    terms.organisation = core::valueOf(organisation);
    terms.service = routes->serviceFor(*terms.route, core::stableHash(attemptName));
    terms.tokens = tokenCountsOf(request.headers, names);
    auto promptParts = sharedPromptPartsOf(request.headers, names);
    const auto digest = digestOf(request, host, terms.organisation, promptParts);
    terms.features = {std::move(promptParts), digest};
    terms.deadline = arrival + terms.route->timeout;
    if (const auto timeLeft = millisecondsIn(request.headers, names.timeLeft)) {
        const auto callerDeadline = arrival + std::max(*timeLeft - answerMargin, answerMargin);
        if (callerDeadline < terms.deadline) {
            terms.deadline = callerDeadline;
            terms.deadlineSource = TimeLimitSource::Caller;
        }
    }
    terms.priority = routes->priorityFor(*terms.route, terms.organisation);
    return terms;
}

} // namespace lycheelanding::forwarding
