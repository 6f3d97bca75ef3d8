#pragma once

#include "lycheelanding/control/commandline.h"
#include "lycheelanding/control/commandresult.h"
#include "lycheelanding/control/patchsubmitter.h"

#include <string>
#include <vector>

namespace lycheelanding::control {

/// Parses the arguments (without the program's name) and executes the command.
CommandResult runTool(const std::vector<std::string> &arguments, const PatchSubmitterSettings &settings = {});

} // namespace lycheelanding::control
