#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/experts/expertmap.h"

#include <string>

namespace lycheelanding::daemon::side::group {

/// The map in the JSON format of the engines: {"layers": [[[ranks of expert 0], ...], ...]}.
std::string encodeMap(const decisions::experts::ExpertMap &map);
/// Fails with Internal when the text is not a map of that shape.
core::Result<decisions::experts::ExpertMap>
decodeMap(const std::string &text, const decisions::experts::MapShape &shape, core::MapVersion version);

} // namespace lycheelanding::daemon::side::group
