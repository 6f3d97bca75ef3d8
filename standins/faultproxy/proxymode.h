#pragma once

#include "common/httphelpers.h"

#include <chrono>
#include <cstdint>
#include <string_view>

/// A TCP proxy that injects network faults.
namespace lycheelanding::standins::faultproxy {

using common::Json;

enum class ProxyMode : std::uint8_t {
    Pass,
    /// Closes all connections and refuses new ones.
    Cut,
    /// Resets all connections, new ones as soon as they are accepted.
    Reset,
    /// Keeps connections and forwards nothing.
    Freeze,
    /// Forwards everything later.
    Delay,
    /// Forwards only what goes to the target.
    OneWayIn,
    /// Forwards only what comes from the target.
    OneWayOut,
    /// Closes each connection after so many more bytes from the target.
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

/// Reads {"mode", "delayMs", "truncateAfterBytes"}; throws std::exception when it cannot be read.
ProxySetting proxySettingFrom(const Json &handleControl);
std::string_view nameOf(ProxyMode mode);

} // namespace lycheelanding::standins::faultproxy
