#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/quarantine/promptparts.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheelanding::decisions::quarantine {

/// A backend server crashed while it held a request that it had not begun to answer.
struct CrashReport
{
    /// One incarnation of a backend server; every entry names it alike.
    std::string backend;
    /// The shared prompt parts of the request.
    PromptParts parts;
    core::TimePoint time;

    bool operator==(const CrashReport &) const = default;
};

/// A backend server has answered a part of a request with these shared prompt parts, and did not crash.
struct ProgressReport
{
    PromptParts parts;
    core::TimePoint time;

    bool operator==(const ProgressReport &) const = default;
};

struct QuarantineSettings
{
    /// Crashes in a row after which requests with a part are held.
    std::size_t minCrashes = 2;
    /// How long they are held then, plus a random part of the same length that differs between entries, so that few of
    /// them probe at once.
    core::Duration firstHold = std::chrono::seconds(5);
    /// Crashes in a row after which a probe has failed too.
    std::size_t confirmedCrashes = 3;
    /// How long requests are held after a failed probe; doubled by each further one.
    core::Duration confirmedHold = std::chrono::minutes(10);
    /// Time in which a probe shows its outcome; no other one is sent meanwhile.
    core::Duration probeTimeout = std::chrono::seconds(5);
    /// A part is forgotten this long after its last crash, or after the end of its hold.
    core::Duration suspicionTime = std::chrono::minutes(10);
    /// Bounds the memory; the part whose last crash is the oldest is forgotten first.
    std::size_t maxSuspects = 512;
};

/// Finds parts of prompts that crash each backend server that begins to answer them (poison pill requests), and holds
/// requests that contain them. Entries exchange their reports, so that the crashes seen by all of them count. Reports
/// may arrive late, repeatedly and in any order.
///
/// A part is suspected while backend servers crash under it in a row; progress of any request with it clears it. Parts
/// that were always together with it are its companions: requests without one of them are not held, so that a sound
/// part that is common to many prompts is cleared by other requests.
class PromptQuarantine
{
public:
    PromptQuarantine(const QuarantineSettings &settings, std::uint64_t seed);

    /// Returns whether requests are held from now on that were not before.
    bool crashed(const CrashReport &report);
    /// Returns whether this has cleared a suspected part.
    bool progressed(const ProgressReport &report);

    /// How long a request with these parts is held; nullopt if it may be sent now.
    std::optional<core::Duration> holdTime(const PromptParts &parts, core::TimePoint now) const;
    /// The request is sent. If its parts were held before, it is the probe that decides whether they are held on.
    void sent(const PromptParts &parts, core::TimePoint now);
    /// Forgets old suspicions; to be called about once a second.
    void tick(core::TimePoint now);

    /// The crashes under parts that are held, for entries that have not seen them.
    std::vector<CrashReport> heldReports(core::TimePoint now) const;
    bool isEmpty() const { return m_suspects.empty(); }

private:
    struct Suspect
    {
        /// Time of each crash by backend server.
        std::map<std::string, core::TimePoint> crashes;
        core::TimePoint lastCrash;
        /// Sorted.
        PromptParts companions;
        core::TimePoint probeUntil;
    };

    void addCrash(const PromptPart &part, const CrashReport &report);
    void removeOldest();
    core::TimePoint heldUntil(const PromptPart &part, const Suspect &suspect) const;
    bool isHeldPart(const Suspect &suspect) const { return suspect.crashes.size() >= m_settings.minCrashes; }

    const QuarantineSettings m_settings;
    const std::uint64_t m_seed;
    std::map<PromptPart, Suspect> m_suspects;
    /// When progress has last cleared a part, for reports of earlier crashes that arrive later.
    std::map<PromptPart, core::TimePoint> m_clearedAt;
};

} // namespace lycheelanding::decisions::quarantine
