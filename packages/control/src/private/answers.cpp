#include "private/answers.h"

#include <fmt/format.h>

namespace lycheelanding::control {

core::Result<nlohmann::json> jsonObjectOf(const http::HttpResponse &response)
{
    auto json = nlohmann::json::parse(response.body, nullptr, false);
    if (!json.is_object()) {
        return core::Error{core::ErrorKind::Internal, "the answer is not a JSON object"};
    }
    return json;
}

CollectedAnswers collectAnswers(EntryClient &client, const std::string &target)
{
    CollectedAnswers collected;
    for (const auto &answer : client.getFromAll(target)) {
        if (!core::isOk(answer.response)) {
            collected.errors.push_back(core::errorOf(answer.response));
            continue;
        }
        auto object = jsonObjectOf(core::valueOf(answer.response));
        if (core::isOk(object)) {
            collected.objects.push_back(core::takeValue(std::move(object)));
        } else {
            const auto &error = core::errorOf(object);
            collected.errors.push_back({error.kind, fmt::format("{}: {}", answer.entry.url, error.detail)});
        }
    }
    return collected;
}

nlohmann::json errorsJson(const std::vector<core::Error> &errors)
{
    auto json = nlohmann::json::array();
    for (const auto &error : errors) {
        json.push_back({{"kind", core::nameOf(error.kind)}, {"detail", error.detail}});
    }
    return json;
}

std::string errorLines(const std::vector<core::Error> &errors)
{
    std::string lines;
    for (const auto &error : errors) {
        lines += fmt::format("lycheectl: {}: {}\n", core::nameOf(error.kind), error.detail);
    }
    return lines;
}

CommandResult handleJsonErrors(bool asJson, const std::function<CommandResult()> &command)
{
    try {
        return command();
    } catch (const nlohmann::json::exception &exception) {
        const core::Error error{core::ErrorKind::Internal, fmt::format("unexpected answer: {}", exception.what())};
        return failureResult(ExitCode::Failed, error, asJson);
    }
}

} // namespace lycheelanding::control
