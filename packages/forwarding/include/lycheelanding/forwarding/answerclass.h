#pragma once

#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/forwarding/fieldnames.h"
#include "lycheelanding/http/clientconnection.h"

#include <cstdint>
#include <string_view>

namespace lycheelanding::forwarding {

enum class AnswerClass : std::uint8_t {
    /// The backend server's answer, to be passed on unchanged.
    Valid,
    /// The backend server failed the request after it had run; another may do better.
    Failure,
    /// The backend server says that it has not run the request.
    NotRun,
    /// Another backend server has the address; it has not run the request.
    Misdirected,
    /// Not an answer that a caller may get, though the request may have run.
    Invalid,
};

/// What the head of a backend server's answer means.
AnswerClass classifyAnswer(const http::AnswerHead &head, const FieldNames &names);

/// Whether the answer is to the attempt; answers that name none count as own.
bool isAnswerTo(const http::AnswerHead &head, const FieldNames &names, std::string_view attempt);

} // namespace lycheelanding::forwarding
