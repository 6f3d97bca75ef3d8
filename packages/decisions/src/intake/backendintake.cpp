#include "lycheelanding/decisions/intake/backendintake.h"

#include <chrono>

namespace lycheelanding::decisions::intake {

namespace {

constexpr std::chrono::seconds unreadableReportInterval{10};

} // namespace

LimitChange BackendIntake::limitStated(const BackendId &id, double perSecond, core::TimePoint now)
{
    const auto [found, isNew] = m_limits.try_emplace(id, Limit{perSecond, now, now});
    auto &limit = found->second;
    limit.lastStated = now;
    if (!isNew && limit.perSecond == perSecond) {
        return LimitChange::None;
    }
    limit.perSecond = perSecond;
    return LimitChange::Stated;
}

std::optional<EndedLimit> BackendIntake::noLimitStated(const BackendId &id, core::TimePoint sentAt, core::TimePoint now)
{
    const auto found = m_limits.find(id);
    if (found == m_limits.end() || sentAt < found->second.lastStated) {
        return std::nullopt;
    }
    const EndedLimit ended{now - found->second.since, found->second.sent};
    m_limits.erase(found);
    return ended;
}

bool BackendIntake::limitUnreadable(const BackendId &id, core::TimePoint now)
{
    const auto [found, isNew] = m_unreadableReports.try_emplace(id, now);
    if (!isNew && now - found->second < unreadableReportInterval) {
        return false;
    }
    found->second = now;
    return true;
}

void BackendIntake::recordSent(const BackendId &id)
{
    const auto found = m_limits.find(id);
    if (found != m_limits.end()) {
        ++found->second.sent;
    }
}

void BackendIntake::remove(const BackendId &id)
{
    m_limits.erase(id);
    m_unreadableReports.erase(id);
}

std::optional<double> BackendIntake::limitOf(const BackendId &id) const
{
    const auto found = m_limits.find(id);
    return found == m_limits.end() ? std::nullopt : std::optional(found->second.perSecond);
}

} // namespace lycheelanding::decisions::intake
