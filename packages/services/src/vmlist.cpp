#include "lycheelanding/services/vmlist.h"

#include "private/answerjson.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace lycheelanding::services {

namespace {

using Json = nlohmann::json;

/// The text of a member, empty if it is missing; nothing if it has another type.
std::optional<std::string> textOf(const Json &item, const char *name)
{
    const auto found = item.find(name);
    if (found == item.end()) {
        return std::string();
    }
    return found->is_string() ? std::optional(found->get<std::string>()) : std::nullopt;
}

std::optional<VmRow> rowFrom(const Json &item)
{
    if (!item.is_object()) {
        return std::nullopt;
    }
    const auto id = textOf(item, "id");
    const auto dataCentre = textOf(item, "dataCentre");
    const auto role = textOf(item, "role");
    const auto state = textOf(item, "state");
    const auto address = textOf(item, "address");
    if (!id || id->empty() || !dataCentre || !role || !state || !address) {
        return std::nullopt;
    }
    VmRow row;
    row.vm = core::VmId(*id);
    row.dataCentre = core::DataCentreId(*dataCentre);
    row.role = *role == "entry" ? VmRole::Entry : VmRole::Backend;
    row.state = *state == "leaving" ? VmState::Leaving : VmState::Live;
    row.address = *address;
    return row;
}

/// The text with null in place of each number that no double can hold: the parser refuses the whole text for one.
std::string withoutHugeNumbers(std::string_view text)
{
    constexpr std::string_view numberCharacters = "+-.0123456789Ee";
    std::string result;
    bool isInString = false;
    while (!text.empty()) {
        const auto end = isInString ? 0 : std::min(text.find_first_not_of(numberCharacters), text.size());
        double value = 0.0;
        if (end > 0 && std::from_chars(text.data(), text.data() + end, value).ec == std::errc::result_out_of_range) {
            result.append("null");
            text.remove_prefix(end);
            continue;
        }
        const bool isEscape = isInString && text.front() == '\\';
        isInString = isInString != (text.front() == '"');
        const auto size = std::min<std::size_t>(std::max<std::size_t>(end, isEscape ? 2 : 1), text.size());
        result.append(text.substr(0, size));
        text.remove_prefix(size);
    }
    return result;
}

core::Result<std::vector<VmRow>> rowsFrom(const core::Result<http::HttpResponse> &result)
{
    if (!core::isOk(result)) {
        return core::errorOf(result);
    }
    auto rows = vmRowsFrom(core::valueOf(result).body);
    if (!rows) {
        return core::Error{core::ErrorKind::PeerUnreachable, "the VM list cannot be read"};
    }
    return std::move(*rows);
}

} // namespace

std::optional<std::vector<VmRow>> vmRowsFrom(std::string_view body)
{
    // Rows have several writers: one that is nested deeply must not hide the others.
    core::JsonLimits limits;
    limits.maxDepth = limits.maxContainers;
    auto json = parsedAnswer(body, limits);
    if (json.is_discarded()) {
        json = parsedAnswer(withoutHugeNumbers(body), limits);
    }
    const auto list = json.is_object() ? json.find("vms") : json.end();
    if (list == json.end() || !list->is_array()) {
        return std::nullopt;
    }
    std::vector<VmRow> rows;
    for (const auto &item : *list) {
        if (auto row = rowFrom(item)) {
            rows.push_back(std::move(*row));
        }
    }
    return rows;
}

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
