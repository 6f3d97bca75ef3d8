#include "lycheelanding/decisions/mapswitch/commandwindow.h"

namespace lycheelanding::decisions::mapswitch {

void CommandWindow::add(std::size_t rank, std::size_t bytes)
{
    remove(rank);
    m_waiting.push_back({rank, bytes});
}

void CommandWindow::remove(std::size_t rank)
{
    std::erase_if(m_waiting, [rank](const Command &command) { return command.rank == rank; });
    const auto unanswered = m_unanswered.find(rank);
    if (unanswered != m_unanswered.end()) {
        m_unansweredBytes -= unanswered->second;
        m_unanswered.erase(unanswered);
    }
}

std::optional<std::size_t> CommandWindow::takeNext()
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    const auto next = m_waiting.front();
    if (!m_unanswered.empty() && m_unansweredBytes + next.bytes > m_maxBytes) {
        return std::nullopt;
    }
    m_waiting.pop_front();
    m_unanswered.emplace(next.rank, next.bytes);
    m_unansweredBytes += next.bytes;
    return next.rank;
}

} // namespace lycheelanding::decisions::mapswitch
