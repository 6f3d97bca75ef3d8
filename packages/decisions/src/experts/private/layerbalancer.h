#pragma once

#include "lycheelanding/decisions/experts/expertmap.h"
#include "lycheelanding/decisions/experts/loadforecast.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lycheelanding::decisions::experts {

/// Adds or removes one replica in the layer of a LayerBalancer.
struct ReplicaEdit
{
    std::size_t expert = 0;
    std::size_t rank = 0;
    bool isAdded = false;
};

/// Edits that are applied together, such as a swap of two experts. Affects at most two experts.
class ReplicaChange
{
public:
    static constexpr std::size_t maxEdits = 4;

    ReplicaChange &add(std::size_t expert, std::size_t rank);
    ReplicaChange &remove(std::size_t expert, std::size_t rank);

    int freedSlots() const;
    const ReplicaEdit *begin() const { return m_edits.data(); }
    const ReplicaEdit *end() const { return m_edits.data() + m_count; }

private:
    std::array<ReplicaEdit, maxEdits> m_edits;
    std::size_t m_count = 0;
};

/// A change that lowers the potential of its layer.
struct RatedChange
{
    ReplicaChange change;
    double gain = 0;
    /// Cost of the change in replica loads; greater than 0.
    double cost = 0;
    /// Replicas to load; negative when the change reverts an earlier one.
    int loads = 0;
};

/// Searches for better placements within one layer. The mean load of the available ranks is 1.
///
/// The demand of a rank is its load plus the deviation of that load, assuming that the loads of its experts are
/// independent. Replicas lower the deviation even if they do not change the load.
class LayerBalancer
{
public:
    /// Starts from the placements of `layer` on the ranks marked in `isAvailable`. The shares in `expected` sum to 1.
    /// `freedSlotCost` is the cost of a slot that a change leaves free, in replica loads; `maxLoadsPerRank` the number
    /// of experts that a rank may load for the changes, 0 for no limit.
    LayerBalancer(const ExpertMap &map, std::size_t layer, const std::vector<bool> &isAvailable,
                  const std::vector<ExpertLoad> &expected, double freedSlotCost, int maxLoadsPerRank);

    /// Adds a replica of every expert that has none. Requires at least as many slots on the available ranks as experts.
    void repair();
    void apply(const ReplicaChange &change);

    /// The change with the highest ratio of gain to cost; none if no change has a gain.
    std::optional<RatedChange> bestChange();
    /// Load of the slowest rank, without the deviation.
    double slowestLoad() const;
    /// Smooth upper bound of the largest demand (a p-norm), to which ranks with nearly as much demand contribute.
    double potential() const;
    /// Ranks that hold a replica of the expert.
    const std::vector<std::size_t> &ranksOf(std::size_t expert) const { return m_ranksOfExpert[expert]; }

private:
    bool holds(std::size_t expert, std::size_t rank) const { return m_holds[rank * m_experts + expert]; }
    bool hasFreeSlot(std::size_t rank) const { return m_expertsOfRank[rank].size() < m_slots; }
    bool isRedundant(std::size_t expert) const { return m_ranksOfExpert[expert].size() > 1; }
    double demandOf(std::size_t rank) const;
    std::size_t maxDemandRank() const;
    void insertReplica(std::size_t expert, std::size_t rank);
    void eraseReplica(std::size_t expert, std::size_t rank);
    void addLoad(std::size_t expert, double sign);
    void addMissingReplica(std::size_t expert);
    std::optional<std::size_t> leastLoadedRedundantExpert(std::size_t rank) const;

    void prepareSearch();
    /// Fills m_targets with the ranks with the least demand.
    void selectTargets();
    void evaluateMovesFrom(std::size_t source, std::size_t expert);
    void evaluateMovesTo(std::size_t source, std::size_t expert, std::size_t target);
    void evaluate(const ReplicaChange &change);
    double powerSumAfter(const ReplicaChange &change);
    void addDeltas(const ReplicaChange &change, std::size_t expert);
    void addDelta(std::size_t rank, double load, double variance);
    int loadsOf(const ReplicaChange &change) const;
    bool isLoad(std::size_t expert, std::size_t rank) const { return !m_initiallyHeld[rank * m_experts + expert]; }
    /// Whether no rank loads too many experts after the change.
    bool respectsLoadLimit(const ReplicaChange &change) const;

    double m_freedSlotCost;
    int m_maxLoadsPerRank;
    std::size_t m_experts;
    std::size_t m_slots;
    std::vector<std::size_t> m_ranks;
    /// Load of each expert, relative to the mean load of a rank.
    std::vector<double> m_expertLoads;
    /// Variance of each value in m_expertLoads.
    std::vector<double> m_expertVariances;
    std::vector<std::vector<std::size_t>> m_ranksOfExpert;
    std::vector<std::vector<std::size_t>> m_expertsOfRank;
    std::vector<char> m_holds;
    std::vector<char> m_initiallyHeld;
    /// Experts that each rank loads for the changes so far.
    std::vector<int> m_loadsOfRank;
    std::vector<double> m_rankLoads;
    std::vector<double> m_rankVariances;

    // State of one bestChange() search.
    std::vector<double> m_demands;
    /// Demand of each rank without each of its experts, in the order of m_expertsOfRank.
    std::vector<std::vector<double>> m_demandsWithout;
    std::vector<double> m_powers;
    /// Ranks that may get a replica.
    std::vector<std::size_t> m_targets;
    double m_powerSum = 0;
    double m_potential = 0;
    double m_maxDemand = 0;
    double m_slowestLoad = 0;
    std::vector<double> m_loadDeltas;
    std::vector<double> m_varianceDeltas;
    std::vector<std::size_t> m_affectedRanks;
    std::optional<RatedChange> m_best;
};

} // namespace lycheelanding::decisions::experts
