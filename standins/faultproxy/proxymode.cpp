#include "faultproxy/proxymode.h"

#include "lycheelanding/core/nametable.h"

#include <array>
#include <stdexcept>
#include <string>

namespace lycheelanding::standins::faultproxy {

namespace {

constexpr std::array<core::NameEntry<ProxyMode>, 8> modeNames{{
    {ProxyMode::Pass, "pass"},
    {ProxyMode::Cut, "cut"},
    {ProxyMode::Reset, "reset"},
    {ProxyMode::Freeze, "freeze"},
    {ProxyMode::Delay, "delay"},
    {ProxyMode::OneWayIn, "oneWayIn"},
    {ProxyMode::OneWayOut, "oneWayOut"},
    {ProxyMode::Truncate, "truncate"},
}};

} // namespace

bool ProxySetting::isBlocked(Direction direction) const
{
    switch (mode) {
    case ProxyMode::Freeze:
        return true;
    case ProxyMode::OneWayIn:
        return direction == Direction::ToClient;
    case ProxyMode::OneWayOut:
        return direction == Direction::ToTarget;
    default:
        return false;
    }
}

ProxySetting proxySettingFrom(const Json &control)
{
    const auto name = control.at("mode").get<std::string>();
    const auto mode = core::valueIn(modeNames, name);
    if (!mode) {
        throw std::invalid_argument("unknown proxy mode " + name);
    }
    ProxySetting setting;
    setting.mode = *mode;
    if (*mode == ProxyMode::Delay) {
        setting.delay = std::chrono::milliseconds(control.at("delayMs").get<int>());
    }
    setting.truncateAfterBytes = control.value("afterBytes", std::uint64_t(0));
    return setting;
}

std::string_view nameOf(ProxyMode mode)
{
    return core::nameIn(modeNames, mode);
}

} // namespace lycheelanding::standins::faultproxy
