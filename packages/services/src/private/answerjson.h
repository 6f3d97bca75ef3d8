#pragma once

#include "lycheelanding/core/jsonlimits.h"

#include <nlohmann/json.hpp>

#include <string_view>

namespace lycheelanding::services {

/// The parsed body of an answer; a discarded value if it is not JSON or exceeds the limits.
inline nlohmann::json parsedAnswer(std::string_view body, const core::JsonLimits &limits = {})
{
    return core::exceedsLimits(body, limits) ? nlohmann::json(nlohmann::json::value_t::discarded)
                                             : nlohmann::json::parse(body, nullptr, false);
}

} // namespace lycheelanding::services
