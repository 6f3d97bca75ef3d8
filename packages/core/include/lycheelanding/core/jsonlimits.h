#pragma once

#include <cstddef>
#include <string_view>

namespace lycheelanding::core {

/// Limits on the JSON documents of peers. A parsed document takes up to 80 bytes of memory for an array or object and
/// 16 for another value, which may be one or two bytes in the text.
struct JsonLimits
{
    /// The deepest documents that the project exchanges, expert maps and configurations, have less than ten levels.
    std::size_t maxDepth = 32;
    /// Of arrays and objects. A value of the store, of 1 MiB at most, has some ten thousand if it holds routes.
    std::size_t maxContainers = 250'000;
    std::size_t maxValues = 1'000'000;
};

/// Whether a JSON text exceeds one of the limits. The text need not be valid JSON.
bool exceedsLimits(std::string_view json, const JsonLimits &limits = {});

} // namespace lycheelanding::core
