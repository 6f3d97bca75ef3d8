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
    /// Maximum wait for running requests after the stop request.
    std::chrono::milliseconds timeout{60000};
    /// How long to keep answering entries that have not closed their connections yet, before exiting.
    std::chrono::milliseconds linger{3000};
};

enum class DrainPhase : std::uint8_t {
    Serving,
    Draining,
    Stopped,
};

/// Passes the request that has just arrived on for execution.
struct AdmitRequest
{ };
/// Answers the request that has just arrived with this error; it has not run.
struct RefuseRequest
{
    core::ErrorKind kind = core::ErrorKind::Draining;
};
/// Notifies every connected entry, and each one that connects from now on, that this side is leaving.
struct AnnounceLeaving
{ };
/// Ends the process.
struct Exit
{
    /// Requests still running when the drain timeout expired.
    std::size_t unfinished = 0;
};
using SideDrainAction = std::variant<AdmitRequest, RefuseRequest, AnnounceLeaving, Exit>;
using SideDrainActions = std::vector<SideDrainAction>;

/// Drain state machine of the side: serves until its VM is leaving or a stop is requested, then refuses new requests
/// and finishes the running ones. It exits only on a stop request; on a VM that is leaving it keeps refusing.
class SideDrain
{
public:
    explicit SideDrain(const SideDrainSettings &settings);

    /// Replaces the maximum wait for running requests.
    void setTimeout(std::chrono::milliseconds timeout) { m_settings.timeout = timeout; }
    /// SIGTERM.
    SideDrainActions stopRequested(core::TimePoint now);
    /// The VM list marks the local VM as leaving, or an operator drains it.
    SideDrainActions vmLeaving(core::TimePoint now);
    SideDrainActions requestArrived(core::TimePoint now);
    /// An admitted request was answered in full, or its entry has disconnected.
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
