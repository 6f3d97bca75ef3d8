#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/membership/sidedrain.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <variant>
#include <vector>

namespace lycheelanding::decisions::membership {

struct EntryDrainSettings
{
    /// How long to go on accepting after readiness has ended, so that the balancer has time to see it.
    std::chrono::milliseconds notReadyTime{5000};
    /// Longest wait for running requests, counted from the order to stop.
    std::chrono::milliseconds timeout{60000};
};

/// Accept no more connections; close idle ones.
struct StopListening
{ };
using EntryDrainAction = std::variant<AdmitRequest, RefuseRequest, StopListening, Exit>;
using EntryDrainActions = std::vector<EntryDrainAction>;

/// The entry's own state: after an order to stop it is not ready but still accepts, then refuses, finishes what runs
/// and exits.
class EntryDrain
{
public:
    explicit EntryDrain(const EntryDrainSettings &settings);

    /// The longest wait for running requests from now on.
    void setTimeout(std::chrono::milliseconds timeout) { m_settings.timeout = timeout; }
    /// SIGTERM.
    EntryDrainActions stopRequested(core::TimePoint now);
    EntryDrainActions requestArrived(core::TimePoint now);
    EntryDrainActions requestFinished(core::TimePoint now);
    EntryDrainActions tick(core::TimePoint now);

    bool isReady() const { return !m_stopRequestedAt; }
    DrainPhase phase() const { return m_phase; }
    std::size_t running() const { return m_running; }

private:
    void advance(core::TimePoint now, EntryDrainActions &actions);

    EntryDrainSettings m_settings;
    DrainPhase m_phase = DrainPhase::Serving;
    std::optional<core::TimePoint> m_stopRequestedAt;
    std::size_t m_running = 0;
};

} // namespace lycheelanding::decisions::membership
