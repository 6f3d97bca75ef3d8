#pragma once

#include "common/httphelpers.h"

#include <chrono>
#include <cstdint>
#include <string_view>

/// A TCP proxy that injects network faults.
namespace lycheelanding::standins::faultproxy {

using common::Json;

enum class ProxyMode : std::uint8_t {
    /// Forwards everything, including data held back by an earlier mode.
    Pass,
    /// Closes all connections and refuses new ones.
    Cut,
    /// Resets all connections; new ones once they are accepted.
    Reset,
    /// Keeps connections open and forwards nothing, not even their end.
    Freeze,
    /// Forwards everything after `delay`.
    Delay,
    /// Forwards only data to the target.
    OneWayIn,
    /// Forwards only data from the target.
    OneWayOut,
    /// Closes each connection after `truncateAfterBytes` more bytes from the target.
    Truncate,
};

enum class Direction : std::uint8_t {
    ToTarget,
    ToClient,
};

struct ProxySetting
{
    ProxyMode mode = ProxyMode::Pass;
    std::chrono::milliseconds delay{0};
    std::uint64_t truncateAfterBytes = 0;

    bool isBlocked(Direction direction) const;
    bool closesConnections() const { return mode == ProxyMode::Cut || mode == ProxyMode::Reset; }
};

/// Parses {"mode", "delayMs", "afterBytes"}; throws std::exception when a member is missing or invalid.
ProxySetting proxySettingFrom(const Json &control);
std::string_view nameOf(ProxyMode mode);

} // namespace lycheelanding::standins::faultproxy
