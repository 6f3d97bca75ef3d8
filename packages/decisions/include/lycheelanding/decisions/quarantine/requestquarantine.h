#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/quarantine/requestfeatures.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheelanding::decisions::quarantine {

/// A backend server crashed while it held a request that it had not answered.
struct CrashReport
{
    /// One incarnation of a backend server; every entry names it alike.
    std::string backend;
    /// What the request has in common with others.
    RequestFeatures features;
    core::TimePoint time;

    bool operator==(const CrashReport &) const = default;
};

/// A backend server has answered a part of a request with these features, and did not crash.
struct ProgressReport
{
    RequestFeatures features;
    core::TimePoint time;

    bool operator==(const ProgressReport &) const = default;
};

/// A request with these features was sent after a hold, to find out whether they still crash backend
/// servers.
struct ProbeReport
{
    RequestFeatures features;
    core::TimePoint time;

    bool operator==(const ProbeReport &) const = default;
};

struct QuarantineSettings
{
    /// Crashes in a row after which requests with a feature are held.
    std::size_t minCrashes = 2;
    /// How long they are held at first, after one failed probe, and so on. A random part of the same length is added
    /// that differs between entries, so that few of them probe at once. A sound feature may be held by chance, so the
    /// first times are short.
    std::vector<core::Duration> holds{std::chrono::seconds(5), std::chrono::minutes(2), std::chrono::hours(1),
                                      std::chrono::hours(24)};
    /// Time in which a probe shows its outcome; no other one is sent meanwhile.
    core::Duration probeTimeout = std::chrono::seconds(5);
    /// A feature is forgotten this long after its last crash, or after the end of its hold.
    core::Duration suspicionTime = std::chrono::minutes(10);
    /// Bounds the memory; features that are not held are forgotten first, and of these the one whose last crash is the
    /// oldest.
    std::size_t maxSuspects = 256;
};

/// Finds features of requests that crash each backend server that begins to answer them (poison pill requests), and
/// holds requests that contain them. Entries exchange their reports, so that the crashes seen by all of them count.
/// Reports may arrive late, repeatedly and in any order.
///
/// A feature is suspected while backend servers crash under it in a row; progress of any request with it clears it. Its
/// companions are the features that were together with it in some request of each of its crashes, and so explain them
/// as well: requests without one of them are not held, so that a sound feature that is common to many requests is
/// cleared by other requests.
class RequestQuarantine
{
public:
    RequestQuarantine(const QuarantineSettings &settings, std::uint64_t seed);

    /// Returns whether requests are held from now on that were not before.
    bool crashed(const CrashReport &report);
    /// Returns whether this has cleared a suspected feature.
    bool progressed(const ProgressReport &report);

    /// How long a request with these features is held; nullopt if it may be sent now.
    std::optional<core::Duration> holdTime(const RequestFeatures &features, core::TimePoint now) const;
    /// The request is sent. Returns whether it is the probe that decides whether its features are held on.
    bool sent(const RequestFeatures &features, core::TimePoint now);
    /// Another entry has sent a probe.
    void probed(const ProbeReport &report);
    /// Forgets old suspicions; to be called about once a second.
    void tick(core::TimePoint now);

    /// The crashes under features that are held, for entries that have not seen them.
    std::vector<CrashReport> heldReports(core::TimePoint now) const;
    bool isEmpty() const { return m_suspects.empty(); }

private:
    struct Crash
    {
        core::TimePoint time;
        /// The other features of the requests with the suspected feature that the backend server held.
        std::set<RequestFeature> others;
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

    static RequestFeatures companionsOf(const Suspect &suspect);
    static bool hasCompanions(const Suspect &suspect, const RequestFeatures &features);
    /// nullopt while there are too few crashes.
    std::optional<Hold> holdOf(const Suspect &suspect) const;

    void addCrash(const RequestFeature &feature, const CrashReport &report);
    void removeOldest();
    core::TimePoint heldUntil(const RequestFeature &feature, const Suspect &suspect) const;
    bool isHeldFeature(const Suspect &suspect) const { return suspect.crashes.size() >= m_settings.minCrashes; }

    const QuarantineSettings m_settings;
    const std::uint64_t m_seed;
    std::map<RequestFeature, Suspect> m_suspects;
    /// When progress has last cleared a feature, for reports of earlier crashes that arrive later.
    std::map<RequestFeature, core::TimePoint> m_clearedAt;
};

} // namespace lycheelanding::decisions::quarantine
