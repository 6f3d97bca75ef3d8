#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace lycheelanding::decisions::mapswitch {

/// Limits the bytes of large commands that a leader has sent and that are not answered yet, so that other messages wait
/// only briefly on its link. A rank has at most one command in the window; the others wait in the order of add().
class CommandWindow
{
public:
    explicit CommandWindow(std::size_t maxBytes) : m_maxBytes(maxBytes) { }

    /// Adds a command of a rank at the end of the queue; it replaces the rank's earlier one.
    void add(std::size_t rank, std::size_t bytes);
    /// The rank's command was answered or withdrawn, or counts as lost.
    void remove(std::size_t rank);
    /// The rank whose command is to be sent now; empty if none waits or the window is full. A command larger than the
    /// window is sent alone.
    std::optional<std::size_t> takeNext();

    std::size_t unansweredBytes() const { return m_unansweredBytes; }

private:
    struct Command
    {
        std::size_t rank;
        std::size_t bytes;
    };

    const std::size_t m_maxBytes;
    std::deque<Command> m_waiting;
    /// Sizes of the unanswered commands in bytes, by rank.
    std::map<std::size_t, std::size_t> m_unanswered;
    std::size_t m_unansweredBytes = 0;
};

} // namespace lycheelanding::decisions::mapswitch
