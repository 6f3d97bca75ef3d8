#pragma once

#include "lycheelanding/decisions/experts/expertplanner.h"

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace lycheelanding::bench::experts {

/// Interface of the placement policies that Runner runs.
template <typename Type>
concept PlacementPolicy
    = requires(Type &policy, const Type &constPolicy, const decisions::experts::ExpertCounts &counts,
               const decisions::experts::ExpertMap &map, const std::vector<core::RankIndex> &ranks, core::TimePoint now)
{
    {
        constPolicy.name()
        } -> std::convertible_to<std::string_view>;
    policy.observe(counts);
    policy.moveStarted(std::uint64_t{}, now);
    policy.moveEnded();
    {
        constPolicy.plan(map, ranks, now)
        } -> std::same_as<decisions::experts::Plan>;
};

/// Baseline policy that keeps the initial map.
class NeverMove
{
public:
    void observe(const decisions::experts::ExpertCounts & /*counts*/) { }
    void moveStarted(std::uint64_t /*bytes*/, core::TimePoint /*now*/) { }
    void moveEnded() { }

    std::string_view name() const { return "never"; }
    decisions::experts::Plan plan(const decisions::experts::ExpertMap & /*current*/,
                                  const std::vector<core::RankIndex> & /*available*/, core::TimePoint /*now*/) const
    {
        return decisions::experts::Stay{};
    }
};

/// The planner of the library with the given settings.
class PlannerPolicy : public decisions::experts::ExpertPlanner
{
public:
    PlannerPolicy(std::string name, const decisions::experts::MapShape &shape,
                  const decisions::experts::PlannerSettings &settings)
        : ExpertPlanner(shape, settings), m_name(std::move(name))
    { }

    std::string_view name() const { return m_name; }

private:
    std::string m_name;
};

} // namespace lycheelanding::bench::experts
