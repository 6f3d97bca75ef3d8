#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/forwarding/fieldnames.h"
#include "lycheelanding/http/clientconnection.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace lycheelanding::forwarding {

enum class AnswerClass : std::uint8_t {
    /// The backend server's own answer; it is forwarded unchanged.
    Valid,
    /// The backend server failed the request after it had run; another one may succeed.
    Failure,
    /// The backend server states that it has not run the request.
    NotRun,
    /// Another backend server listens at this address; it has not run the request.
    Misdirected,
    /// The answer must not reach the caller; the request may have run.
    Invalid,
};

/// Classifies an answer of a backend server by its head.
AnswerClass classifyAnswer(const http::AnswerHead &head, const FieldNames &names);

/// Whether the answer names a request. One that does not may be a copy of an answer to an earlier request.
bool namesRequest(const http::AnswerHead &head, const FieldNames &names);

/// Whether the answer belongs to the attempt. One that names no request belongs to it only if the connection carried no
/// other request before.
bool isAnswerTo(const http::AnswerHead &head, const FieldNames &names, std::string_view attempt,
                bool isReusedConnection);

/// Whether the answer says that its backend server leaves.
bool isLeaving(const http::AnswerHead &head, const FieldNames &names);

/// Whether the class of an answer shows that it comes from the backend server that the request was sent to.
bool isOwnAnswer(AnswerClass answerClass);

/// Requests per second, or std::monostate if the field's text is no such number.
using RequestLimit = std::variant<std::monostate, double>;

/// The limit of requests that the answer states; nullopt if it states none.
std::optional<RequestLimit> statedLimit(const http::AnswerHead &head, const FieldNames &names);

/// A time for which the backend server is cold, or std::monostate if the field's text is no such time.
using StatedColdTime = std::variant<std::monostate, core::Duration>;

/// The remaining cold time that the answer states; nullopt if it states none.
std::optional<StatedColdTime> statedColdTime(const http::AnswerHead &head, const FieldNames &names);

/// A time in seconds, or std::monostate if the field's text is no positive number.
using RetryDelay = std::variant<std::monostate, double>;

/// The time for which an answer that turns its request away asks for no further ones; nullopt if it does not.
std::optional<RetryDelay> statedRetryDelay(const http::AnswerHead &head);

/// The error of an attempt whose answer is not passed on, for every class but Valid.
core::Error errorOf(AnswerClass answerClass, const std::string &backendName);

} // namespace lycheelanding::forwarding
