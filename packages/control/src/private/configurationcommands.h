#pragma once

#include "lycheelanding/control/commandline.h"
#include "lycheelanding/control/commandresult.h"
#include "lycheelanding/control/patchsubmitter.h"

namespace lycheelanding::control {

CommandResult showConfiguration(EntryClient &client, const Command &command);
CommandResult patchConfiguration(EntryClient &client, const Command &command, const PatchSubmitterSettings &settings);
CommandResult showHistory(EntryClient &client, const Command &command);
/// The configuration version of each process, merged from the reports of all entries.
CommandResult showVersions(EntryClient &client, const Command &command);

} // namespace lycheelanding::control
