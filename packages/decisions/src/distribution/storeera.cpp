#include "lycheelanding/decisions/distribution/storeera.h"

#include "lycheelanding/core/nametable.h"

#include <array>
#include <charconv>
#include <utility>

namespace lycheelanding::decisions::distribution {

namespace {

constexpr std::array<core::NameEntry<EraCheck>, 5> checkNames{{
    {EraCheck::Current, "current"},
    {EraCheck::Advanced, "advanced"},
    {EraCheck::Outdated, "outdated"},
    {EraCheck::Missing, "missing"},
    {EraCheck::Invalid, "invalid"},
}};

} // namespace

std::string_view nameOf(EraCheck check)
{
    return core::nameIn(checkNames, check);
}

EraCheck EraTracker::check(std::optional<std::string_view> era)
{
    if (!era) {
        // A store that has never named an era has only one.
        return m_isKnown ? EraCheck::Missing : EraCheck::Current;
    }
    std::uint64_t number = 0;
    const char *const end = era->data() + era->size();
    const auto parsed = std::from_chars(era->data(), end, number);
    if (era->empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return EraCheck::Invalid;
    }
    const StoreEra seen(number);
    if (!std::exchange(m_isKnown, true)) {
        m_current = seen;
        return EraCheck::Current;
    }
    if (seen < m_current) {
        return EraCheck::Outdated;
    }
    return std::exchange(m_current, seen) == seen ? EraCheck::Current : EraCheck::Advanced;
}

} // namespace lycheelanding::decisions::distribution
