#pragma once

#include "harness/deployment.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lycheelanding::harness {

/// Experts, layers and slots of the deployment's one rank group.
inline constexpr std::size_t groupExperts = 8;
inline constexpr std::size_t groupLayers = 2;
inline constexpr std::size_t groupSlotsPerRank = 4;

/// The first configuration: two organisations, one model with one rank group, one plain service.
nlohmann::json initialConfiguration(const DeploymentPlan &plan, const std::vector<SideNode> &sides);

/// Settings of the engine stand-in that holds the ranks from `index` * ranksPerEngine on.
nlohmann::json engineSettings(const DeploymentPlan &plan, std::size_t index, const std::string &rankZeroAddress,
                              const std::string &weightStoreUrl);

/// Data centre of the `index`-th VM: VMs are spread over three of them.
std::string dataCentreOf(std::size_t index);

} // namespace lycheelanding::harness
