#pragma once

#include "lycheelanding/control/commandline.h"
#include "lycheelanding/control/commandresult.h"

namespace lycheelanding::control {

CommandResult showBurn(EntryClient &client, const Command &command);

} // namespace lycheelanding::control
