#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/quarantine/promptparts.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

/// A request with these shared prompt parts was sent after a hold, to find out whether they still crash backend
/// servers.
struct ProbeReport
{
    PromptParts parts;
    core::TimePoint time;

    bool operator==(const ProbeReport &) const = default;
};

struct QuarantineSettings
{
    /// Crashes in a row after which requests with a part are held.
    std::size_t minCrashes = 2;
    /// How long they are held at first, after one failed probe, and so on. A random part of the same length is added
    /// that differs between entries, so that few of them probe at once. A sound part may be held by chance, so the
    /// first times are short.
    std::vector<core::Duration> holds{std::chrono::seconds(5), std::chrono::minutes(2), std::chrono::hours(1),
                                      std::chrono::hours(24)};
    /// Time in which a probe shows its outcome; no other one is sent meanwhile.
    core::Duration probeTimeout = std::chrono::seconds(5);
    /// A part is forgotten this long after its last crash, or after the end of its hold.
    core::Duration suspicionTime = std::chrono::minutes(10);
    /// Bounds the memory; the part whose last crash is the oldest is forgotten first.
    std::size_t maxSuspects = 256;
};

/// Finds parts of prompts that crash each backend server that begins to answer them (poison pill requests), and holds
/// requests that contain them. Entries exchange their reports, so that the crashes seen by all of them count. Reports
/// may arrive late, repeatedly and in any order.
///
/// A part is suspected while backend servers crash under it in a row; progress of any request with it clears it. Its
/// companions are the parts that were together with it in some request of each of its crashes, and so explain them as
/// well: requests without one of them are not held, so that a sound part that is common to many prompts is cleared by
/// other requests.
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
    /// The request is sent. Returns whether it is the probe that decides whether its parts are held on.
    bool sent(const PromptParts &parts, core::TimePoint now);
    /// Another entry has sent a probe.
    void probed(const ProbeReport &report);
    /// Forgets old suspicions; to be called about once a second.
    void tick(core::TimePoint now);

    /// The crashes under parts that are held, for entries that have not seen them.
    std::vector<CrashReport> heldReports(core::TimePoint now) const;
    bool isEmpty() const { return m_suspects.empty(); }

private:
    struct Crash
    {
        core::TimePoint time;
        /// The other parts of the requests with the suspected part that the backend server held.
        std::set<PromptPart> others;
    };
    struct Suspect
    {
        /// By backend server.
        std::map<std::string, Crash> crashes;
        core::TimePoint lastCrash;
        core::TimePoint probeUntil;
    };

    struct Hold
    {
        core::TimePoint start;
        std::size_t failedProbes = 0;
    };

    static PromptParts companionsOf(const Suspect &suspect);
    static bool hasCompanions(const Suspect &suspect, const PromptParts &parts);
    /// nullopt while there are too few crashes.
    std::optional<Hold> holdOf(const Suspect &suspect) const;

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
