#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/decisions/experts/expertmap.h"

#include <string>

namespace lycheelanding::daemon::side::group {

/// The map as the engines read it: {"layers": [[[ranks of expert 0], ...], ...]}.
std::string encodeMap(const decisions::experts::ExpertMap &map);
/// Fails with Internal when the text is no map of that shape.
core::Result<decisions::experts::ExpertMap>
decodeMap(const std::string &text, const decisions::experts::MapShape &shape, core::MapVersion version);

} // namespace lycheelanding::daemon::side::group
