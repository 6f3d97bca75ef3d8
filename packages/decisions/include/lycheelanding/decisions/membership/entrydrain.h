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
    /// How long to keep accepting requests after reporting not ready, so that the external load balancer notices; at
    /// most a third of `timeout`.
    std::chrono::milliseconds notReadyTime{5000};
    /// Maximum wait for running requests, from the stop request.
    std::chrono::milliseconds timeout{60000};
};

/// Stops accepting connections and closes idle ones.
struct StopListening
{ };
/// Gives up the requests that no backend server has. From now on attempts must not be started: the answers might not
/// arrive before the process ends.
struct StopSending
{ };
using EntryDrainAction = std::variant<AdmitRequest, RefuseRequest, StopListening, StopSending, Exit>;
using EntryDrainActions = std::vector<EntryDrainAction>;

/// Drain state machine of the entry: after a stop request it is not ready but still accepts, then refuses new requests,
/// finishes the running ones and exits. Requests are sent to backend servers until half of the time between the refusal
/// of new ones and the timeout has passed.
class EntryDrain
{
public:
    explicit EntryDrain(const EntryDrainSettings &settings);

    /// Replaces the maximum wait for running requests.
    void setTimeout(std::chrono::milliseconds timeout) { m_settings.timeout = timeout; }
    /// SIGTERM.
    EntryDrainActions stopRequested(core::TimePoint now);
    EntryDrainActions requestArrived(core::TimePoint now);
    EntryDrainActions requestFinished(core::TimePoint now);
    EntryDrainActions tick(core::TimePoint now);

    bool isReady() const { return !m_stopRequestedAt; }
    /// Whether attempts may be started.
    bool isSending() const { return m_isSending; }
    /// When requests that are still running are abandoned; unset without a stop request.
    std::optional<core::TimePoint> deadline() const;
    DrainPhase phase() const { return m_phase; }
    std::size_t running() const { return m_running; }

private:
    void advance(core::TimePoint now, EntryDrainActions &actions);
    std::chrono::milliseconds acceptTime() const;
    std::chrono::milliseconds sendTime() const;

    EntryDrainSettings m_settings;
    DrainPhase m_phase = DrainPhase::Serving;
    std::optional<core::TimePoint> m_stopRequestedAt;
    std::size_t m_running = 0;
    bool m_isSending = true;
};

} // namespace lycheelanding::decisions::membership
