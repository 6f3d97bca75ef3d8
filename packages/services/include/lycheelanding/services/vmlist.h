#pragma once

#include "lycheelanding/core/ids.h"
#include "lycheelanding/core/result.h"
#include "lycheelanding/http/httpclient.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
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

/// A VM as the platform lists it; the list lags behind the actual state of the VMs.
struct VmRow
{
    core::VmId vm;
    core::DataCentreId dataCentre;
    VmRole role = VmRole::Backend;
    VmState state = VmState::Live;
    /// "IP:PORT" at which the entry or side on the VM accepts connections of peers.
    std::string address;
};

/// Decodes a listing; nothing if it is none. Rows without an id, or with a field of another type, are left out.
std::optional<std::vector<VmRow>> vmRowsFrom(std::string_view body);

using VmListHandler = std::function<void(core::Result<std::vector<VmRow>>)>;

template <typename Type>
concept VmList = requires(Type &list, VmListHandler onListed)
{
    list.list(onListed);
};

/// Client of the VM list over HTTP. Handlers are called on the thread of the HTTP client.
class HttpVmList
{
public:
    HttpVmList(http::HttpClient &client, std::string baseUrl);

    /// Requests all VMs; rows that are not objects or have no ID are left out. Fails with PeerUnreachable when the list
    /// cannot be parsed, and otherwise like HttpClientHandlers::onDone.
    void list(VmListHandler onListed);

private:
    http::HttpClient &m_client;
    std::string m_baseUrl;
};

static_assert(VmList<HttpVmList>);

} // namespace lycheelanding::services
