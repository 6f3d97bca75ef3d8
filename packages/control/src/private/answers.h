#pragma once

#include "lycheelanding/control/commandresult.h"
#include "lycheelanding/control/entryclient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <vector>

namespace lycheelanding::control {

/// Parses the body of an answer as a JSON object; Internal when it is anything else.
core::Result<nlohmann::json> jsonObjectOf(const http::HttpResponse &response);

/// The JSON objects that entries answered with, and the errors of the other entries.
struct CollectedAnswers
{
    std::vector<nlohmann::json> objects;
    std::vector<core::Error> errors;
};

/// GET from all entries concurrently.
CollectedAnswers collectAnswers(EntryClient &client, const std::string &target);

/// The errors as a JSON array of {"kind", "detail"}.
nlohmann::json errorsJson(const std::vector<core::Error> &errors);
/// The errors as lines for the standard error stream.
std::string errorLines(const std::vector<core::Error> &errors);

/// Executes `command`. A missing key or an unexpected type in an entry's JSON ends it with ExitCode::Failed.
CommandResult handleJsonErrors(bool asJson, const std::function<CommandResult()> &command);

} // namespace lycheelanding::control
