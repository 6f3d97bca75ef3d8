#include "runtime/startupreport.h"

#include <iostream>

namespace lycheelanding::daemon::runtime {

namespace {

/// Replaces the port of the address by the bound one; they differ if the settings ask for an ephemeral port.
std::string withPort(const std::string &address, std::uint16_t port)
{
    return address.substr(0, address.rfind(':') + 1) + std::to_string(port);
}

} // namespace

void reportListening(const std::string &httpAddress, std::uint16_t httpPort, const std::string &peerAddress,
                     std::uint16_t peerPort)
{
    std::cout << "listening http=" << withPort(httpAddress, httpPort) << " peer=" << withPort(peerAddress, peerPort)
              << std::endl;
}

} // namespace lycheelanding::daemon::runtime
