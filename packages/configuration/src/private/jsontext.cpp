#include "private/jsontext.h"

namespace lycheelanding::configuration {

core::Error errorAtPointer(core::ErrorKind kind, std::string_view pointer, std::string_view reason)
{
    std::string detail(pointer.empty() ? "/" : pointer);
    detail += ": ";
    detail += reason;
    for (char &character : detail) {
        if (character == '\n' || character == '\r') {
            character = ' ';
        }
    }
    return {kind, std::move(detail)};
}

std::string messageWithoutTag(std::string_view exceptionText)
{
    const auto tagEnd = exceptionText.find("] ");
    return std::string(tagEnd == std::string_view::npos ? exceptionText : exceptionText.substr(tagEnd + 2));
}

core::Result<nlohmann::json> parseJson(std::string_view text, core::ErrorKind kind)
{
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception &exception) {
        return errorAtPointer(kind, "", messageWithoutTag(exception.what()));
    }
}

} // namespace lycheelanding::configuration
