#pragma once

#include "lycheelanding/control/commandresult.h"
#include "lycheelanding/control/entryclient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lycheelanding::control {

/// The JSON object in an answer; Internal when the body is something else.
core::Result<nlohmann::json> jsonObjectOf(const http::HttpResponse &response);

/// The JSON objects of the entries that gave one, and the errors of the others.
struct CollectedAnswers
{
    std::vector<nlohmann::json> objects;
    std::vector<core::Error> errors;
};

CollectedAnswers collectAnswers(EntryClient &client, const std::string &target);

/// The errors as a JSON array of {"kind", "detail"}.
nlohmann::json errorsJson(const std::vector<core::Error> &errors);
/// The errors as lines for the standard error stream.
std::string errorLines(const std::vector<core::Error> &errors);

/// Ends a command whose answers may lack keys or hold other types than the interface says.
CommandResult handleJsonErrors(bool asJson, const std::function<CommandResult()> &command);

} // namespace lycheelanding::control
