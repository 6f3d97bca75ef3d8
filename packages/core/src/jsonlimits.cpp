#include "lycheelanding/core/jsonlimits.h"

namespace lycheelanding::core {

bool exceedsLimits(std::string_view json, const JsonLimits &limits)
{
    std::size_t depth = 0;
    std::size_t containers = 0;
    std::size_t values = 1;
    bool isInString = false;
    bool isEscaped = false;
    for (const char character : json) {
        if (isInString) {
            isInString = isEscaped || character != '"';
            isEscaped = !isEscaped && character == '\\';
            continue;
        }
        switch (character) {
        case '"':
            isInString = true;
            break;
        case '[':
        case '{':
            ++depth;
            ++containers;
            ++values;
            break;
        case ']':
        case '}':
            depth -= depth > 0 ? 1 : 0;
            break;
        case ',':
            ++values;
            break;
        default:
            break;
        }
        if (depth > limits.maxDepth || containers > limits.maxContainers || values > limits.maxValues) {
            return true;
        }
    }
    return false;
}

} // namespace lycheelanding::core
