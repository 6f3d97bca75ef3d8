#include "lycheelanding/services/vmlist.h"

#include <nlohmann/json.hpp>

namespace lycheelanding::services {

namespace {

using Json = nlohmann::json;

core::Result<std::vector<VmRow>> rowsFrom(const core::Result<http::HttpResponse> &result)
{
    if (!core::isOk(result)) {
        return core::errorOf(result);
    }
    const auto json = Json::parse(core::valueOf(result).body, nullptr, false);
    if (!json.is_object() || !json.contains("vms") || !json["vms"].is_array()) {
        return core::Error{core::ErrorKind::PeerUnreachable, "the VM list cannot be read"};
    }
    std::vector<VmRow> rows;
    for (const auto &item : json["vms"]) {
        if (!item.is_object()) {
            continue;
        }
        VmRow row;
        row.vm = core::VmId(item.value("id", ""));
        row.dataCentre = core::DataCentreId(item.value("dataCentre", ""));
        row.role = item.value("role", "") == "entry" ? VmRole::Entry : VmRole::Backend;
        row.state = item.value("state", "") == "leaving" ? VmState::Leaving : VmState::Live;
        row.address = item.value("address", "");
        if (!row.vm.isEmpty()) {
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

} // namespace

HttpVmList::HttpVmList(http::HttpClient &client, std::string baseUrl) : m_client(client), m_baseUrl(std::move(baseUrl))
{ }

void HttpVmList::list(VmListHandler onListed)
{
    http::HttpClientRequest request;
    request.url = m_baseUrl + "/vms";
    request.timeout = std::chrono::seconds(2);
    m_client.fetch(std::move(request),
                   [onListed = std::move(onListed)](const auto &result) { onListed(rowsFrom(result)); });
}

} // namespace lycheelanding::services
