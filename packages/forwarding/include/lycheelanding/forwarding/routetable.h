#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lycheelanding::forwarding {

/// Finds routes and organisations in one version of the configuration. Never changes once made.
class RouteTable
{
public:
    explicit RouteTable(ForwardingConfiguration configuration);

    const ForwardingConfiguration &configuration() const { return m_configuration; }
    core::ConfigurationVersion version() const { return m_configuration.version; }

    /// The route of the host with the longest prefix of the path; null when there is none.
    const Route *find(std::string_view host, std::string_view path) const;
    /// The organisation for which a request of the route counts; empty where none is needed. Fails with UnknownKey.
    core::Result<core::OrganisationId> organisationFor(const Route &route, std::string_view key) const;
    /// The priority of a request: 0 is the most urgent.
    std::uint32_t priorityFor(const Route &route, const core::OrganisationId &organisation) const;
    /// A service of the route, chosen by the weights; `number` is uniform over its type.
    const core::ServiceId &serviceFor(const Route &route, std::uint64_t number) const;
    const Service *service(const core::ServiceId &id) const;

private:
    ForwardingConfiguration m_configuration;
    /// Index of a route by host, a blank and the prefix.
    std::unordered_map<std::string, std::size_t> m_routes;
    std::unordered_map<core::ServiceId, std::size_t> m_services;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace lycheelanding::forwarding
