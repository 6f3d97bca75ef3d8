#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/core/errorkind.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::membership {

struct SideDrainSettings
{
    /// Longest wait for running requests after the stop was ordered.
    std::chrono::milliseconds timeout{60000};
    /// How long to answer entries that have not yet closed their connections, before exiting.
    std::chrono::milliseconds linger{3000};
};

enum class DrainPhase : std::uint8_t {
    Serving,
    Draining,
    Stopped,
};

/// Hand the request that has just arrived to the backend server.
struct AdmitRequest
{ };
/// Answer the request that has just arrived with this error; it has not run.
struct RefuseRequest
{
    core::ErrorKind kind = core::ErrorKind::Draining;
};
/// Tell every connected entry, and each one that connects from now on, that this side is leaving.
struct AnnounceLeaving
{ };
/// End the process.
struct Exit
{
    /// Requests that were still running when the limit passed.
    std::size_t unfinished = 0;
};
using SideDrainAction = std::variant<AdmitRequest, RefuseRequest, AnnounceLeaving, Exit>;
using SideDrainActions = std::vector<SideDrainAction>;

/// The side's own state: serves until its VM is leaving or it is told to stop, then refuses new work and finishes what
/// runs. Only an order to stop makes it exit; on a VM that is leaving it goes on refusing.
class SideDrain
{
public:
    explicit SideDrain(const SideDrainSettings &settings);

    /// The longest wait for running requests from now on.
    void setTimeout(std::chrono::milliseconds timeout) { m_settings.timeout = timeout; }
    /// SIGTERM.
    SideDrainActions stopRequested(core::TimePoint now);
    /// The VM list says that the own VM is leaving, or an operator drains it.
    SideDrainActions vmLeaving(core::TimePoint now);
    SideDrainActions requestArrived(core::TimePoint now);
    /// An admitted request has been answered in full, or its entry is gone.
    SideDrainActions requestFinished(core::TimePoint now);
    SideDrainActions entryConnected(core::TimePoint now);
    SideDrainActions entryDisconnected(core::TimePoint now);
    SideDrainActions tick(core::TimePoint now);

    DrainPhase phase() const { return m_phase; }
    std::size_t running() const { return m_running; }

private:
    void startDraining(SideDrainActions &actions);
    void exitWhenDue(core::TimePoint now, SideDrainActions &actions);

    SideDrainSettings m_settings;
    DrainPhase m_phase = DrainPhase::Serving;
    std::optional<core::TimePoint> m_stopRequestedAt;
    std::size_t m_running = 0;
    std::size_t m_connectedEntries = 0;
};

} // namespace lycheelanding::decisions::membership
