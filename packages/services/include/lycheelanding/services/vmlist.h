#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace lycheelanding::services {

enum class VmRole : std::uint8_t {
    Entry,
    Backend,
};

enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

/// One VM as the platform lists it; the list lags behind the VMs.
struct VmRow
{
    core::VmId vm;
    core::DataCentreId dataCentre;
    VmRole role = VmRole::Backend;
    VmState state = VmState::Live;
    /// "IP:PORT" at which the VM's process of the system accepts its peers.
    std::string address;
};

using VmListHandler = std::function<void(core::Result<std::vector<VmRow>>)>;

template <typename Type>
concept VmList = requires(Type &list, VmListHandler onListed)
{
    list.list(onListed);
};

/// The VM list over HTTP.
class HttpVmList
{
public:
    HttpVmList(http::HttpClient &client, std::string baseUrl);

    /// Asks for all VMs; rows that cannot be read are left out. Fails with PeerUnreachable.
    void list(VmListHandler onListed);

private:
    http::HttpClient &m_client;
    std::string m_baseUrl;
};

static_assert(VmList<HttpVmList>);

} // namespace lycheelanding::services
