#include "vmlist/vmlistservice.h"

#include <utility>

namespace lycheelanding::standins::vmlist {

VmListService::VmListService(asio::io_context &context, const Json &settings)
    : m_context(context), m_faultInjector(context), m_lag(settings.value("lagMs", 0))
{
    for (const auto &row : settings.value("vms", Json::array())) {
        m_visibleRows[row.at("id").get<std::string>()] = row;
    }
}

void VmListService::handle(const http::HttpExchangePointer &exchange)
{
    const http::HttpRequest &request = exchange->request();
    if (request.path() == "/vms" && request.method == "GET") {
        m_faultInjector.answer(exchange, common::CallKind::Read, [this] { return common::jsonAnswer(200, list()); });
        return;
    }
    if (request.path() == "/control" && request.method == "POST") {
        handleControl(exchange);
        return;
    }
    const auto id = common::pathAfterPrefix(request.path(), "/control/vms/");
    if (!id) {
        common::respondNotFound(exchange);
        return;
    }
    if (request.method == "PUT") {
        Json row = common::parseJsonBody(exchange);
        row["id"] = *id;
        applyAfterLag([id = *id, row](Rows &rows) { rows[id] = row; });
    } else if (request.method == "DELETE") {
        applyAfterLag([id = *id](Rows &rows) { rows.erase(id); });
    }
    common::respondJson(exchange, 200, Json::object());
}

void VmListService::handleControl(const http::HttpExchangePointer &exchange)
{
    const Json body = common::parseJsonBody(exchange);
    if (body.contains("lagMs")) {
        const std::lock_guard lock(m_mutex);
        m_lag = std::chrono::milliseconds(body["lagMs"].get<int>());
    }
    if (body.contains("mode")) {
        m_faultInjector.configure(body);
    }
    common::respondJson(exchange, 200, Json::object());
}

void VmListService::applyAfterLag(std::function<void(Rows &)> change)
{
    const std::lock_guard lock(m_mutex);
    if (m_lag.count() == 0) {
        change(m_visibleRows);
        return;
    }
    common::callAfter(m_context, m_lag, [this, change = std::move(change)] {
        const std::lock_guard laterLock(m_mutex);
        change(m_visibleRows);
    });
}

Json VmListService::list() const
{
    const std::lock_guard lock(m_mutex);
    Json rows = Json::array();
    for (const auto &[id, row] : m_visibleRows) {
        rows.push_back(row);
    }
    return {{"vms", rows}};
}

} // namespace lycheelanding::standins::vmlist
