#pragma once

#include "lycheelanding/core/result.h"
#include "lycheelanding/forwarding/forwardingconfiguration.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace lycheelanding::forwarding {

/// Looks up routes and organisations in one version of the configuration. Immutable.
class RouteTable
{
public:
    explicit RouteTable(ForwardingConfiguration configuration);

    const ForwardingConfiguration &configuration() const { return m_configuration; }
    core::ConfigurationVersion version() const { return m_configuration.version; }

    /// The route of the host with the longest matching path prefix; null if there is none.
    const Route *find(std::string_view host, std::string_view path) const;
    /// The organisation that holds the key; empty if the route needs none. Fails with UnknownKey.
    core::Result<core::OrganisationId> organisationFor(const Route &route, std::string_view key) const;
    /// The priority of a request: 0 is the most urgent.
    std::uint32_t priorityFor(const Route &route, const core::OrganisationId &organisation) const;
    /// Selects a service of the route by the weights; `number` is uniformly distributed over its type.
    const core::ServiceId &serviceFor(const Route &route, std::uint64_t number) const;
    const Service *service(const core::ServiceId &id) const;
    /// Services with stream routes of different priorities and with a target for the interval between events. Operators
    /// rank the routes of a service because it may be unable to serve all of them in time.
    std::set<core::ServiceId> servicesWithRankedStreams() const;

private:
    ForwardingConfiguration m_configuration;
    /// Indices of routes; the key is the host in lower case, a space and the prefix.
    std::unordered_map<std::string, std::size_t> m_routes;
    std::unordered_map<core::ServiceId, std::size_t> m_services;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

} // namespace lycheelanding::forwarding
