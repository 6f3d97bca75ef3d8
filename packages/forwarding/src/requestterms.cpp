#include "lycheelanding/forwarding/requestterms.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <chrono>

namespace lycheelanding::forwarding {

namespace {

/// The answer is sent this long before the caller's timeout, so that it arrives in time: the time of a message to the
/// caller plus the processing time of the entry.
constexpr std::chrono::milliseconds answerMargin{20};

} // namespace

core::Result<RequestTerms> requestTerms(const http::HttpRequest &request, const std::string &attemptName,
                                        const RouteTablePointer &routes, const FieldNames &names,
                                        core::TimePoint arrival)
{
    if (!routes) {
        return core::Error{core::ErrorKind::StoreUnavailable, "no configuration has been read yet"};
    }
    RequestTerms terms;
    terms.route = routes->find(request.headers.find("Host").value_or(std::string()), request.path());
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
    terms.promptParts = sharedPromptPartsOf(request.headers, names);
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
