#pragma once

#include "lycheelanding/decisions/mapswitch/switchmessages.h"
#include "lycheelanding/wire/mapswitchmessages.h"

namespace lycheelanding::daemon::side::group {

/// Conversions between the map switch messages of the decisions package and those on the wire.
wire::MapSwitchOrder toWire(const decisions::mapswitch::SwitchOrder &order, const core::GroupId &group);
decisions::mapswitch::SwitchOrder fromWire(const wire::MapSwitchOrder &order);
wire::MapSwitchReport toWire(const decisions::mapswitch::GateReport &report, const core::GroupId &group);
decisions::mapswitch::GateReport fromWire(const wire::MapSwitchReport &report);

} // namespace lycheelanding::daemon::side::group
