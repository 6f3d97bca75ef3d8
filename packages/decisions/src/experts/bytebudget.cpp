#include "lycheelanding/decisions/experts/bytebudget.h"

#include <algorithm>

namespace lycheelanding::decisions::experts {

ByteBudget::ByteBudget(std::uint64_t bytesPerMinute, std::uint64_t capacity)
    : m_bytesPerMinute(static_cast<double>(bytesPerMinute)), m_capacity(static_cast<double>(capacity)),
      m_level(m_capacity)
{ }

void ByteBudget::configure(std::uint64_t bytesPerMinute, std::uint64_t capacity, core::TimePoint now)
{
    const double current = level(now);
    m_bytesPerMinute = static_cast<double>(bytesPerMinute);
    m_capacity = static_cast<double>(capacity);
    m_level = std::min(current, m_capacity);
    m_levelAt = now;
}

void ByteBudget::charge(std::uint64_t bytes, core::TimePoint now)
{
    m_level = level(now) - static_cast<double>(bytes);
    m_levelAt = now;
}

std::uint64_t ByteBudget::available(core::TimePoint now) const
{
    return static_cast<std::uint64_t>(std::max(0.0, level(now)));
}

double ByteBudget::fillLevel(core::TimePoint now) const
{
    return m_capacity > 0 ? std::max(0.0, level(now)) / m_capacity : 0;
}

double ByteBudget::level(core::TimePoint now) const
{
    if (!m_levelAt || now <= *m_levelAt) {
        return m_level;
    }
    const double minutes = std::chrono::duration<double, std::ratio<60>>(now - *m_levelAt).count();
    return std::min(m_capacity, m_level + minutes * m_bytesPerMinute);
}

} // namespace lycheelanding::decisions::experts
