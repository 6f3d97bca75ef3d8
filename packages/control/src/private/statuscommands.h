#pragma once

#include "lycheelanding/control/commandline.h"
#include "lycheelanding/control/commandresult.h"

namespace lycheelanding::control {

CommandResult showStatus(EntryClient &client, const Command &command);
CommandResult drain(EntryClient &client, const Command &command);

} // namespace lycheelanding::control
