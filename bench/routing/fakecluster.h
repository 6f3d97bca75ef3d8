#pragma once

#include "eventqueue.h"
#include "fakeengine.h"
#include "scenario.h"

#include "lycheelanding/core/errorkind.h"
#include "lycheelanding/decisions/routing/backendcandidate.h"

#include <functional>
#include <map>
#include <vector>

namespace lycheelanding::bench::routing {

/// Callbacks for the progress and the failure of attempts that entries have submitted.
struct ClusterListener
{
    std::function<void(const EngineEvent &)> progress;
    std::function<void(std::size_t entry, decisions::routing::AttemptId, core::ErrorKind, core::Ran)> failed;
};

/// The backend servers of the deployment: fake engines into which the scenarios inject faults.
class FakeCluster
{
public:
    FakeCluster(EventQueue &queue, ClusterListener listener);

    static core::ServiceId service() { return core::ServiceId("drafting"); }
    static core::ModelId model() { return core::ModelId("draft"); }
    static core::VmId vmIdOf(std::size_t index) { return core::VmId("worker-" + std::to_string(index)); }
    static core::DataCentreId dataCentreOf(std::size_t index);
    std::vector<decisions::routing::BackendCandidate> candidates() const;

    void submit(const core::VmId &vm, core::RankIndex rank, EngineJob job);
    void cancel(const core::VmId &vm, core::RankIndex rank, std::size_t entry, decisions::routing::AttemptId attempt);

    void setSlowdown(std::size_t vm, double factor);
    /// Stalls rank 0 of the backend server; the steps of its whole group wait for that rank.
    void stall(std::size_t vm, core::Duration duration);
    void setFailing(std::size_t vm) { m_vmFaults[vm].isFailing = true; }
    /// Makes the backend server refuse new requests; it completes those that it has already accepted.
    void setRefusing(std::size_t vm) { m_vmFaults[vm].isRefusing = true; }

    decisions::routing::LoadReport reportOf(std::size_t vm) const;
    /// Maximum over mean of the outstanding tokens of the ranks that accept requests; 0 if no tokens are outstanding.
    double imbalance() const;
    std::uint64_t prefixLookups() const;
    std::uint64_t prefixHits() const;

private:
    struct VmFaults
    {
        bool isFailing = false;
        bool isRefusing = false;
    };

    static std::size_t groupOf(std::size_t vm) { return vm / SimulationParameters::vmsPerGroup; }
    static std::size_t rankInGroup(std::size_t vm, std::size_t rank);
    std::size_t indexOf(const core::VmId &vm) const { return m_vmIndices.at(vm); }
    void startStep(std::size_t group);

    EventQueue &m_queue;
    ClusterListener m_listener;
    std::vector<FakeEngineGroup> m_groups;
    std::vector<VmFaults> m_vmFaults;
    std::map<core::VmId, std::size_t> m_vmIndices;
};

} // namespace lycheelanding::bench::routing
