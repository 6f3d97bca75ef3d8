#include "lycheelanding/forwarding/routetable.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lycheelanding::forwarding {

namespace {

std::string routeKey(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size() + 1);
    std::transform(host.begin(), host.end(), std::back_inserter(key), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character | 0x20) : character;
    });
    return key.append(1, ' ').append(prefix);
}

} // namespace

RouteTable::RouteTable(ForwardingConfiguration configuration) : m_configuration(std::move(configuration))
{
    for (std::size_t index = 0; index < m_configuration.routes.size(); ++index) {
        const Route &route = m_configuration.routes[index];
        m_routes.emplace(routeKey(route.host, route.prefix), index);
    }
    for (std::size_t index = 0; index < m_configuration.services.size(); ++index) {
        m_services.emplace(m_configuration.services[index].id, index);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string_view hostName = host.substr(0, host.find(':'));
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = m_routes.find(routeKey(hostName, path.substr(0, end + 1)));
        if (found != m_routes.end()) {
            return &m_configuration.routes[found->second];
        }
        if (end == 0) {
            break;
        }
    }
    return nullptr;
}

core::Result<core::OrganisationId> RouteTable::organisationFor(const Route &route, std::string_view key) const
{
    if (!m_configuration.hasOrganisations || route.isPublic) {
        return core::OrganisationId();
    }
    const auto found = m_configuration.organisationOfKey.find(std::string(key));
    if (found == m_configuration.organisationOfKey.end()) {
        return core::Error{core::ErrorKind::UnknownKey, "no organisation holds the key of the request"};
    }
    return found->second;
}

std::uint32_t RouteTable::priorityFor(const Route &route, const core::OrganisationId &organisation) const
{
    const auto found = m_configuration.priorityOfOrganisation.find(organisation);
    return found == m_configuration.priorityOfOrganisation.end() ? route.priority : found->second;
}

const core::ServiceId &RouteTable::serviceFor(const Route &route, std::uint64_t number) const
{
    static const core::ServiceId none;
    std::uint64_t sum = 0;
    for (const auto &each : route.services) {
        sum += each.weight;
    }
    if (sum == 0) {
        return route.services.empty() ? none : route.services.front().service;
    }
    std::uint64_t remainder = number % sum;
    for (const auto &each : route.services) {
        if (remainder < each.weight) {
            return each.service;
        }
        remainder -= each.weight;
    }
    return route.services.back().service;
}

const Service *RouteTable::service(const core::ServiceId &id) const
{
    const auto found = m_services.find(id);
    return found == m_services.end() ? nullptr : &m_configuration.services[found->second];
}

std::set<core::ServiceId> RouteTable::servicesWithRankedStreams() const
{
    std::map<core::ServiceId, std::uint32_t> firstPriorities;
    std::set<core::ServiceId> ranked;
    for (const auto &route : m_configuration.routes) {
        if (route.kind != RouteKind::Stream || route.targetEventInterval <= std::chrono::milliseconds::zero()) {
            continue;
        }
        for (const auto &weighted : route.services) {
            const auto first = firstPriorities.try_emplace(weighted.service, route.priority).first;
            if (first->second != route.priority) {
                ranked.insert(weighted.service);
            }
        }
    }
    return ranked;
}

} // namespace lycheelanding::forwarding
