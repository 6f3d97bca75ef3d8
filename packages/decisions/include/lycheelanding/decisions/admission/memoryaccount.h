#pragma once

#include "lycheelanding/core/clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lycheelanding::decisions::admission {

/// How the memory of a VM is divided. What is in no share is the reserve of the process.
struct MemoryShares
{
    /// For requests of up to `smallRequestBytes`, so that large bodies cannot occupy everything.
    std::size_t smallBytes = 0;
    /// For large bodies, and for answers that are buffered for slow readers.
    std::size_t largeBytes = 0;
    /// For received bytes that the kernel holds because the process has no memory to read them.
    std::size_t unreadBytes = 0;
};

/// The shares of a VM. The large one always has room for one body of `maxBodyBytes`.
MemoryShares memorySharesOf(std::size_t vmBytes, std::size_t maxBodyBytes);

struct MemoryAccountSettings
{
    MemoryShares shares;
    /// What one holder draws up to this size comes from the small share as long as it has room.
    std::size_t smallRequestBytes = 64UL * 1024;
    /// A holder that has made progress within this time is not closed. A packet that is lost twice is retransmitted
    /// within it.
    core::Duration minInactivity = std::chrono::seconds(1);
};

/// One request, or the answers that wait on one connection.
enum class MemoryHolder : std::uint64_t {};

/// The memory that callers' requests and answers occupy in one process. Decides what may be read, and which holders are
/// closed when it is full.
class MemoryAccount
{
public:
    explicit MemoryAccount(const MemoryAccountSettings &settings) : m_settings(settings) { }

    MemoryHolder add(core::TimePoint now);
    /// Releases all that the holder has drawn. Unknown holders are ignored.
    void remove(MemoryHolder holder);
    /// Draws memory before bytes are read; nothing is drawn if there is no room for all of them.
    bool draw(MemoryHolder holder, std::size_t bytes);
    /// Draws memory for bytes that are in the process already, even if there is no room.
    void drawExisting(MemoryHolder holder, std::size_t bytes);
    void release(MemoryHolder holder, std::size_t bytes);
    /// The caller has sent or accepted bytes.
    void progressed(MemoryHolder holder, core::TimePoint now);
    /// Whether the holder may be closed; not while a backend server works on its request.
    void setClosable(MemoryHolder holder, bool isClosable);
    /// Holders to close so that a holder of `heldBytes` can draw `bytes`: those that have held the most without
    /// progress for the longest first. With 0 bytes, holders to close until the shares are not exceeded any more, also
    /// active ones. Each is returned once; its memory is released by remove().
    std::vector<MemoryHolder> holdersToClose(std::size_t bytes, core::TimePoint now, std::size_t heldBytes = 0);

    bool isSmall(std::size_t bytes) const { return bytes <= m_settings.smallRequestBytes; }
    std::size_t heldBytes(MemoryHolder holder) const;
    std::size_t heldBytes() const { return m_smallHeld + m_largeHeld; }
    std::size_t limitBytes() const { return m_settings.shares.smallBytes + m_settings.shares.largeBytes; }
    std::size_t holderCount() const { return m_holders.size(); }

private:
    struct Holder
    {
        std::size_t smallBytes = 0;
        std::size_t largeBytes = 0;
        core::TimePoint lastProgress;
        bool isClosable = false;
        bool isClosing = false;
    };

    bool fitsSmall(const Holder &holder, std::size_t bytes) const;
    bool fitsLarge(std::size_t bytes) const;
    Holder *find(MemoryHolder holder);

    const MemoryAccountSettings m_settings;
    std::map<MemoryHolder, Holder> m_holders;
    std::uint64_t m_lastHolder = 0;
    std::size_t m_smallHeld = 0;
    std::size_t m_largeHeld = 0;
};

} // namespace lycheelanding::decisions::admission
