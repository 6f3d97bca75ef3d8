#include "experts/private/layerbalancer.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace lycheelanding::decisions::experts {

namespace {

/// Exponent p of the p-norm in LayerBalancer::potential(). A rank whose demand is 1/32 below the largest still
/// contributes about a third as much; 1/32 is the size of the fluctuation of a rank's load from step to step.
constexpr double potentialExponent = 32;

/// Gains below this value are rounding errors.
constexpr double minGain = 1e-9;

/// Number of ranks that are tried as the new holder of a replica. The search would take time in proportion to the ranks
/// otherwise; a rank with more demand than this many others is hardly ever the best one.
constexpr std::size_t maxTargets = 8;

/// Cost of a change that neither loads nor removes a replica, in replica loads.
constexpr double minCost = 0.25;

double powerOf(double load)
{
    double power = load;
    for (int squaring = 0; squaring < 5; ++squaring) {
        power *= power;
    }
    return power;
}

double potentialOf(double powerSum)
{
    return std::pow(powerSum, 1 / potentialExponent);
}

} // namespace

ReplicaChange &ReplicaChange::add(std::size_t expert, std::size_t rank)
{
    m_edits[m_count++] = {expert, rank, true};
    return *this;
}

ReplicaChange &ReplicaChange::remove(std::size_t expert, std::size_t rank)
{
    m_edits[m_count++] = {expert, rank, false};
    return *this;
}

int ReplicaChange::freedSlots() const
{
    int freed = 0;
    for (const auto &edit : *this) {
        freed += edit.isAdded ? -1 : 1;
    }
    return std::max(0, freed);
}

LayerBalancer::LayerBalancer(const ExpertMap &map, std::size_t layer, const std::vector<bool> &isAvailable,
                             const std::vector<ExpertLoad> &expected, double freedSlotCost, int maxLoadsPerRank)
    : m_freedSlotCost(freedSlotCost), m_maxLoadsPerRank(maxLoadsPerRank), m_experts(map.shape().experts),
      m_slots(map.shape().slotsPerRank), m_ranksOfExpert(map.shape().experts), m_expertsOfRank(map.shape().ranks),
      m_holds(map.shape().ranks * map.shape().experts), m_rankLoads(map.shape().ranks),
      m_rankVariances(map.shape().ranks), m_demands(map.shape().ranks), m_demandsWithout(map.shape().ranks),
      m_powers(map.shape().ranks), m_loadDeltas(map.shape().ranks), m_varianceDeltas(map.shape().ranks)
{
    for (std::size_t rank = 0; rank < map.shape().ranks; ++rank) {
        if (isAvailable[rank]) {
            m_ranks.push_back(rank);
        }
    }
    for (std::size_t expert = 0; expert < m_experts; ++expert) {
        const double weight = expected[expert].share * static_cast<double>(m_ranks.size());
        const double deviation = weight * expected[expert].deviation;
        m_expertLoads.push_back(weight);
        m_expertVariances.push_back(deviation * deviation);
        for (const auto rank : map.ranksOf(core::LayerIndex(layer), core::ExpertIndex(expert))) {
            if (isAvailable[rank.number()]) {
                insertReplica(expert, rank.number());
            }
        }
        addLoad(expert, 1);
    }
    m_initiallyHeld = m_holds;
    m_loadsOfRank.resize(map.shape().ranks);
}

void LayerBalancer::repair()
{
    std::vector<std::size_t> missing;
    for (std::size_t expert = 0; expert < m_experts; ++expert) {
        if (m_ranksOfExpert[expert].empty()) {
            missing.push_back(expert);
        }
    }
    std::stable_sort(missing.begin(), missing.end(), [this](std::size_t left, std::size_t right) {
        return m_expertLoads[left] > m_expertLoads[right];
    });
    for (const auto expert : missing) {
        addMissingReplica(expert);
    }
}

void LayerBalancer::addMissingReplica(std::size_t expert)
{
    std::optional<std::size_t> chosen;
    for (const auto rank : m_ranks) {
        const bool hasCapacity = hasFreeSlot(rank) || leastLoadedRedundantExpert(rank);
        if (hasCapacity && (!chosen || m_rankLoads[rank] < m_rankLoads[*chosen])) {
            chosen = rank;
        }
    }
    if (!chosen) {
        return;
    }
    ReplicaChange change;
    if (!hasFreeSlot(*chosen)) {
        change.remove(*leastLoadedRedundantExpert(*chosen), *chosen);
    }
    apply(change.add(expert, *chosen));
}

std::optional<std::size_t> LayerBalancer::leastLoadedRedundantExpert(std::size_t rank) const
{
    std::optional<std::size_t> leastLoaded;
    for (const auto expert : m_expertsOfRank[rank]) {
        if (isRedundant(expert) && (!leastLoaded || m_expertLoads[expert] < m_expertLoads[*leastLoaded])) {
            leastLoaded = expert;
        }
    }
    return leastLoaded;
}

void LayerBalancer::apply(const ReplicaChange &change)
{
    for (const auto &edit : change) {
        addLoad(edit.expert, -1);
        if (edit.isAdded) {
            insertReplica(edit.expert, edit.rank);
        } else {
            eraseReplica(edit.expert, edit.rank);
        }
        if (isLoad(edit.expert, edit.rank)) {
            m_loadsOfRank[edit.rank] += edit.isAdded ? 1 : -1;
        }
        addLoad(edit.expert, 1);
    }
}

void LayerBalancer::insertReplica(std::size_t expert, std::size_t rank)
{
    m_ranksOfExpert[expert].push_back(rank);
    m_expertsOfRank[rank].push_back(expert);
    m_holds[rank * m_experts + expert] = 1;
}

void LayerBalancer::eraseReplica(std::size_t expert, std::size_t rank)
{
    std::erase(m_ranksOfExpert[expert], rank);
    std::erase(m_expertsOfRank[rank], expert);
    m_holds[rank * m_experts + expert] = 0;
}

void LayerBalancer::addLoad(std::size_t expert, double sign)
{
    const auto &expertRanks = m_ranksOfExpert[expert];
    const auto replicas = static_cast<double>(expertRanks.size());
    for (const auto rank : expertRanks) {
        m_rankLoads[rank] += sign * m_expertLoads[expert] / replicas;
        m_rankVariances[rank] += sign * m_expertVariances[expert] / (replicas * replicas);
    }
}

double LayerBalancer::demandOf(std::size_t rank) const
{
    return m_rankLoads[rank] + std::sqrt(std::max(0.0, m_rankVariances[rank]));
}

std::size_t LayerBalancer::maxDemandRank() const
{
    return *std::max_element(m_ranks.begin(), m_ranks.end(),
                             [this](std::size_t left, std::size_t right) { return demandOf(left) < demandOf(right); });
}

double LayerBalancer::slowestLoad() const
{
    double slowest = 0;
    for (const auto rank : m_ranks) {
        slowest = std::max(slowest, m_rankLoads[rank]);
    }
    return slowest;
}

double LayerBalancer::potential() const
{
    double sum = 0;
    for (const auto rank : m_ranks) {
        sum += powerOf(demandOf(rank));
    }
    return potentialOf(sum);
}

std::optional<RatedChange> LayerBalancer::bestChange()
{
    if (m_ranks.size() < 2) {
        return std::nullopt;
    }
    prepareSearch();
    const std::size_t source = maxDemandRank();
    m_maxDemand = m_demands[source];
    m_best.reset();
    selectTargets();
    for (const auto expert : m_expertsOfRank[source]) {
        evaluateMovesFrom(source, expert);
    }
    return m_best;
}

void LayerBalancer::prepareSearch()
{
    m_powerSum = 0;
    for (const auto rank : m_ranks) {
        m_demands[rank] = demandOf(rank);
        m_powers[rank] = powerOf(m_demands[rank]);
        m_powerSum += m_powers[rank];
        m_demandsWithout[rank].clear();
        for (const auto expert : m_expertsOfRank[rank]) {
            const auto replicas = static_cast<double>(m_ranksOfExpert[expert].size());
            const double load = m_rankLoads[rank] - m_expertLoads[expert] / replicas;
            const double variance = m_rankVariances[rank] - m_expertVariances[expert] / (replicas * replicas);
            m_demandsWithout[rank].push_back(load + std::sqrt(std::max(0.0, variance)));
        }
    }
    m_potential = potentialOf(m_powerSum);
    m_slowestLoad = slowestLoad();
}

void LayerBalancer::selectTargets()
{
    m_targets = m_ranks;
    if (m_targets.size() <= maxTargets) {
        return;
    }
    const auto end = m_targets.begin() + static_cast<std::ptrdiff_t>(maxTargets);
    std::nth_element(m_targets.begin(), end, m_targets.end(), [this](std::size_t left, std::size_t right) {
        return m_demands[left] < m_demands[right] || (m_demands[left] == m_demands[right] && left < right);
    });
    m_targets.erase(end, m_targets.end());
    std::sort(m_targets.begin(), m_targets.end());
}

void LayerBalancer::evaluateMovesFrom(std::size_t source, std::size_t expert)
{
    if (isRedundant(expert)) {
        evaluate(ReplicaChange().remove(expert, source));
    }
    for (const auto target : m_targets) {
        if (!holds(expert, target)) {
            evaluateMovesTo(source, expert, target);
        }
    }
}

void LayerBalancer::evaluateMovesTo(std::size_t source, std::size_t expert, std::size_t target)
{
    const auto replicas = static_cast<double>(m_ranksOfExpert[expert].size());
    const double replicaLoad = m_expertLoads[expert] / (replicas + 1);
    const double movedLoad = m_expertLoads[expert] / replicas;
    // Most candidates would make the target the rank with the largest demand. Skips them with a lower bound of the
    // target's demand, which is cheap to compute: its deviation only grows with an added replica.
    const auto fits = [this](double demand, double added) { return demand + added < m_maxDemand; };
    if (hasFreeSlot(target) && fits(m_demands[target], replicaLoad)) {
        evaluate(ReplicaChange().add(expert, target));
    }
    if (hasFreeSlot(target) && fits(m_demands[target], movedLoad)) {
        evaluate(ReplicaChange().add(expert, target).remove(expert, source));
    }
    for (std::size_t slot = 0; slot < m_expertsOfRank[target].size(); ++slot) {
        const std::size_t other = m_expertsOfRank[target][slot];
        const double demand = m_demandsWithout[target][slot];
        if (isRedundant(other) && fits(demand, replicaLoad)) {
            evaluate(ReplicaChange().remove(other, target).add(expert, target));
        }
        if (isRedundant(other) && fits(demand, movedLoad)) {
            evaluate(ReplicaChange().remove(other, target).add(expert, target).remove(expert, source));
        }
        const double otherLoad = m_expertLoads[other] / static_cast<double>(m_ranksOfExpert[other].size());
        if (otherLoad < movedLoad && fits(demand, movedLoad) && !holds(other, source)) {
            evaluate(
                ReplicaChange().remove(other, target).add(expert, target).remove(expert, source).add(other, source));
        }
    }
}

void LayerBalancer::evaluate(const ReplicaChange &change)
{
    const int loads = loadsOf(change);
    const double cost = std::max(minCost, loads + m_freedSlotCost * change.freedSlots());
    const double requiredGain = m_best ? m_best->gain / m_best->cost * cost : minGain;
    if (requiredGain >= m_potential) {
        return;
    }
    const double sum = powerSumAfter(change);
    if (sum >= powerOf(m_potential - requiredGain) || !respectsLoadLimit(change)) {
        return;
    }
    m_best = RatedChange{change, m_potential - potentialOf(sum), cost, loads};
}

double LayerBalancer::powerSumAfter(const ReplicaChange &change)
{
    m_affectedRanks.clear();
    const std::size_t first = change.begin()->expert;
    addDeltas(change, first);
    for (const auto &edit : change) {
        if (edit.expert != first) {
            addDeltas(change, edit.expert);
            break;
        }
    }
    double sum = m_powerSum;
    bool isSlower = false;
    for (const auto rank : m_affectedRanks) {
        const double load = std::max(0.0, m_rankLoads[rank] + m_loadDeltas[rank]);
        const double demand = load + std::sqrt(std::max(0.0, m_rankVariances[rank] + m_varianceDeltas[rank]));
        isSlower = isSlower || load > m_slowestLoad || demand > m_maxDemand;
        sum += powerOf(demand) - m_powers[rank];
        m_loadDeltas[rank] = 0;
        m_varianceDeltas[rank] = 0;
    }
    return isSlower ? std::numeric_limits<double>::infinity() : std::max(0.0, sum);
}

void LayerBalancer::addDeltas(const ReplicaChange &change, std::size_t expert)
{
    const auto &expertRanks = m_ranksOfExpert[expert];
    auto replicas = static_cast<double>(expertRanks.size());
    const double loadBefore = m_expertLoads[expert] / replicas;
    const double varianceBefore = m_expertVariances[expert] / (replicas * replicas);
    for (const auto &edit : change) {
        if (edit.expert == expert) {
            replicas += edit.isAdded ? 1 : -1;
        }
    }
    const double loadAfter = m_expertLoads[expert] / replicas;
    const double varianceAfter = m_expertVariances[expert] / (replicas * replicas);
    if (loadAfter != loadBefore) {
        for (const auto rank : expertRanks) {
            addDelta(rank, loadAfter - loadBefore, varianceAfter - varianceBefore);
        }
    }
    for (const auto &edit : change) {
        if (edit.expert == expert) {
            const double sign = edit.isAdded ? 1 : -1;
            addDelta(edit.rank, sign * loadAfter, sign * varianceAfter);
        }
    }
}

void LayerBalancer::addDelta(std::size_t rank, double load, double variance)
{
    if (std::find(m_affectedRanks.begin(), m_affectedRanks.end(), rank) == m_affectedRanks.end()) {
        m_affectedRanks.push_back(rank);
    }
    m_loadDeltas[rank] += load;
    m_varianceDeltas[rank] += variance;
}

bool LayerBalancer::respectsLoadLimit(const ReplicaChange &change) const
{
    if (m_maxLoadsPerRank == 0) {
        return true;
    }
    return std::all_of(change.begin(), change.end(), [&](const ReplicaEdit &edit) {
        int loads = m_loadsOfRank[edit.rank];
        for (const auto &each : change) {
            if (each.rank == edit.rank && isLoad(each.expert, each.rank)) {
                loads += each.isAdded ? 1 : -1;
            }
        }
        return !edit.isAdded || loads <= m_maxLoadsPerRank;
    });
}

int LayerBalancer::loadsOf(const ReplicaChange &change) const
{
    int loads = 0;
    for (const auto &edit : change) {
        if (isLoad(edit.expert, edit.rank)) {
            loads += edit.isAdded ? 1 : -1;
        }
    }
    return loads;
}

} // namespace lycheelanding::decisions::experts
