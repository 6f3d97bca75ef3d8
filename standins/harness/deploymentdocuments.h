#pragma once

#include "harness/deployment.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lycheelanding::harness {

/// Size of the deployment's only rank group.
inline constexpr std::size_t groupExperts = 8;
inline constexpr std::size_t groupLayers = 2;
inline constexpr std::size_t groupSlotsPerRank = 4;

/// Configuration document with two organisations, and with one model, rank group and plain service as the plan has
/// them.
nlohmann::json initialConfiguration(const DeploymentPlan &plan, const std::vector<SideNode> &sides);

/// Settings of the engine stand-in number `index`, which serves the ranks from `index` * ranksPerEngine.
/// `rankZeroAddress` is empty for the engine that serves rank 0.
nlohmann::json engineSettings(const DeploymentPlan &plan, std::size_t index, const std::string &rankZeroAddress,
                              const std::string &weightStoreUrl);

/// Data centre of the `index`-th VM; VMs are spread round-robin over three data centres.
std::string dataCentreOf(std::size_t index);

} // namespace lycheelanding::harness
