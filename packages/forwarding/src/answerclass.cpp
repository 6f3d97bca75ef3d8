#include "lycheelanding/forwarding/answerclass.h"

#include "lycheelanding/decisions/intake/coldbackends.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace lycheelanding::forwarding {

namespace {

constexpr int misdirected = 421;
constexpr int firstSuccess = 200;
constexpr int firstRedirect = 300;
constexpr int firstServerError = 500;
constexpr int serviceUnavailable = 503;
/// With these statuses callers are guaranteed that the request has not run and never will.
constexpr std::array<int, 4> notRunStatuses{408, 421, 429, 503};

bool impliesNotRun(int status)
{
    return std::find(notRunStatuses.begin(), notRunStatuses.end(), status) != notRunStatuses.end();
}

std::optional<double> decimalNumberIn(std::string_view text)
{
    double number = 0.0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, number);
    return error == std::errc() && end == last && std::isfinite(number) ? std::optional(number) : std::nullopt;
}

} // namespace

AnswerClass classifyAnswer(const http::AnswerHead &head, const FieldNames &names)
{
    if (head.status == misdirected) {
        return AnswerClass::Misdirected;
    }
    if (head.headers.find(names.notRun)) {
        return AnswerClass::NotRun;
    }
    // Without the not-run field of the backend server, the guarantee of such a status may be false.
    if (impliesNotRun(head.status) || head.status < firstSuccess) {
        return AnswerClass::Invalid;
    }
    if (head.status < firstRedirect && !head.headers.find(names.proof)) {
        return AnswerClass::Invalid;
    }
    // The entry never requests an encoded body, so an encoding does not come from the backend server.
    if (head.headers.find("Content-Encoding")) {
        return AnswerClass::Invalid;
    }
    return head.status >= firstServerError ? AnswerClass::Failure : AnswerClass::Valid;
}

bool namesRequest(const http::AnswerHead &head, const FieldNames &names)
{
    return head.headers.find(names.attempt).has_value();
}

bool isAnswerTo(const http::AnswerHead &head, const FieldNames &names, std::string_view attempt,
                bool isReusedConnection)
{
    const auto named = head.headers.find(names.attempt);
    return named ? *named == attempt : !isReusedConnection;
}

bool isLeaving(const http::AnswerHead &head, const FieldNames &names)
{
    return head.headers.find(names.leaving) == "1";
}

bool isOwnAnswer(AnswerClass answerClass)
{
    return answerClass != AnswerClass::Misdirected && answerClass != AnswerClass::Invalid;
}

std::optional<RequestLimit> statedLimit(const http::AnswerHead &head, const FieldNames &names)
{
    const auto text = head.headers.find(names.requestLimit);
    if (!text) {
        return std::nullopt;
    }
    const auto number = decimalNumberIn(*text);
    return number && *number >= 0.0 ? RequestLimit(*number) : RequestLimit();
}

std::optional<StatedColdTime> statedColdTime(const http::AnswerHead &head, const FieldNames &names)
{
    const auto text = head.headers.find(names.coldTime);
    if (!text) {
        return std::nullopt;
    }
    const auto number = decimalNumberIn(*text);
    const auto time = number ? decisions::intake::coldTimeFrom(*number) : std::nullopt;
    return time ? StatedColdTime(*time) : StatedColdTime();
}

std::optional<RetryDelay> statedRetryDelay(const http::AnswerHead &head)
{
    const auto text = head.status == serviceUnavailable ? head.headers.find("Retry-After") : std::nullopt;
    if (!text) {
        return std::nullopt;
    }
    const auto number = decimalNumberIn(*text);
    return number && *number > 0.0 ? RetryDelay(*number) : RetryDelay();
}

core::Error errorOf(AnswerClass answerClass, const std::string &backendName)
{
    switch (answerClass) {
    case AnswerClass::Valid:
        break;
    case AnswerClass::Failure:
        return {core::ErrorKind::BackendServerFailed, backendName + " failed the request"};
    case AnswerClass::NotRun:
        return {core::ErrorKind::Overloaded, backendName + " has not run the request"};
    case AnswerClass::Misdirected:
        return {core::ErrorKind::NoBackendServer, "another backend server has the address of " + backendName};
    case AnswerClass::Invalid:
        return {core::ErrorKind::BackendServerFailed, backendName + " gave an answer that cannot be passed on"};
    }
    return {};
}

} // namespace lycheelanding::forwarding
