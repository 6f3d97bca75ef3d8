#include "private/parsererrors.h"

#include <array>

namespace lycheelanding::http {

namespace {

struct ParserError
{
    std::string_view parserError;
    core::ErrorKind kind;
};

/// Parser errors that exceed a limit; all others are malformed requests.
constexpr std::array<ParserError, 6> parserErrors{{
    {"HPE_CB_url", core::ErrorKind::HeaderTooLarge},
    {"HPE_CB_header_field", core::ErrorKind::HeaderTooLarge},
    {"HPE_CB_header_value", core::ErrorKind::HeaderTooLarge},
    {"HPE_HEADER_OVERFLOW", core::ErrorKind::HeaderTooLarge},
    {"HPE_CB_headers_complete", core::ErrorKind::RequestTooLarge},
    {"HPE_CB_body", core::ErrorKind::RequestTooLarge},
}};

} // namespace

core::ErrorKind parserErrorKind(std::string_view error)
{
    const std::string_view name = error.substr(0, error.find(':'));
    for (const auto &fault : parserErrors) {
        if (fault.parserError == name) {
            return fault.kind;
        }
    }
    return core::ErrorKind::MalformedRequest;
}

} // namespace lycheelanding::http
