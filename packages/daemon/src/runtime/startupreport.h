#pragma once

#include <cstdint>
#include <string>

namespace lycheelanding::daemon::runtime {

/// Prints the bound addresses as one line on standard output: "listening http=IP:PORT peer=IP:PORT".
void reportListening(const std::string &httpAddress, std::uint16_t httpPort, const std::string &peerAddress,
                     std::uint16_t peerPort);

} // namespace lycheelanding::daemon::runtime
