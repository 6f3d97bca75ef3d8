#pragma once

#include "lycheelanding/http/httpmessages.h"

#include <memory>
#include <string>
#include <string_view>

namespace lycheelanding::http {

/// A request as sent on a connection. The body is not copied: `bodyOwner` keeps it until the request is written.
struct OutgoingRequest
{
    std::string head;
    std::string_view body = {};
    std::shared_ptr<const void> bodyOwner = nullptr;
};

/// The head of a request, as in serializedRequest(), with these fields instead of those of the request.
std::string serializedHead(const HttpRequest &request, const HttpHeaders &headers, std::string_view host);

} // namespace lycheelanding::http
