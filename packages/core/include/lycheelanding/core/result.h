#pragma once

#include "lycheelanding/core/errorkind.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

/// Result types that hold either a value or an Error.
namespace lycheelanding::core {

struct Error
{
    ErrorKind kind = ErrorKind::Internal;
    /// One sentence for answers and logs that says what is wrong and where.
    std::string detail;
    /// Delay after which a retry can succeed; unset if the kind does not allow a retry or the delay is not known.
    std::optional<std::chrono::milliseconds> retryAfter = std::nullopt;

    bool operator==(const Error &) const = default;
};

template <typename Value>
using Result = std::variant<Value, Error>;

/// The value of an operation that returns nothing on success.
struct Done
{
    bool operator==(const Done &) const = default;
};

using Status = Result<Done>;

template <typename Value>
bool isOk(const Result<Value> &result)
{
    return std::holds_alternative<Value>(result);
}

template <typename Value>
const Value &valueOf(const Result<Value> &result)
{
    return std::get<Value>(result);
}

template <typename Value>
Value &&takeValue(Result<Value> &&result)
{
    return std::get<Value>(std::move(result));
}

template <typename Value>
const Error &errorOf(const Result<Value> &result)
{
    return std::get<Error>(result);
}

} // namespace lycheelanding::core
