#include "lycheelanding/decisions/admission/memoryaccount.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::admission {

namespace {

/// Memory of a process without callers: its code and libraries, the configuration and the registrations while they are
/// parsed.
constexpr std::size_t processBytes = 24UL * 1024 * 1024;
/// The rest of the reserve, as a divisor of the VM's memory: connection objects, fragmentation and the kernel's buffers
/// of connections that are read normally.
constexpr std::size_t reserveDivisor = 4;
/// Of what is not reserved, a quarter each is for small requests and for bytes in the kernel's buffers.
constexpr std::size_t smallDivisor = 4;
constexpr std::size_t unreadDivisor = 4;

/// Added to the inactivity, so that of holders that are all active the largest is closed.
constexpr std::chrono::milliseconds minCountedInactivity{1};

} // namespace

MemoryShares memorySharesOf(std::size_t vmBytes, std::size_t maxBodyBytes)
{
    const std::size_t reserve = processBytes + vmBytes / reserveDivisor;
    const std::size_t rest = vmBytes - std::min(reserve, vmBytes);
    MemoryShares shares;
    shares.smallBytes = rest / smallDivisor;
    shares.unreadBytes = rest / unreadDivisor;
    // The fields of a request are drawn besides its body.
    constexpr std::size_t maxHeadBytes = 256UL * 1024;
    shares.largeBytes = std::max(rest - shares.smallBytes - shares.unreadBytes, maxBodyBytes + maxHeadBytes);
    return shares;
}

MemoryHolder MemoryAccount::add(core::TimePoint now)
{
    const auto holder = MemoryHolder(++m_lastHolder);
    m_holders[holder].lastProgress = now;
    return holder;
}

MemoryAccount::Holder *MemoryAccount::find(MemoryHolder holder)
{
    const auto found = m_holders.find(holder);
    return found == m_holders.end() ? nullptr : &found->second;
}

std::size_t MemoryAccount::heldBytes(MemoryHolder holder) const
{
    const auto found = m_holders.find(holder);
    return found == m_holders.end() ? 0 : found->second.smallBytes + found->second.largeBytes;
}

void MemoryAccount::remove(MemoryHolder holder)
{
    if (const auto *held = find(holder)) {
        m_smallHeld -= held->smallBytes;
        m_largeHeld -= held->largeBytes;
        m_holders.erase(holder);
    }
}

bool MemoryAccount::fitsSmall(const Holder &holder, std::size_t bytes) const
{
    const std::size_t sum = holder.smallBytes + holder.largeBytes + bytes;
    return sum <= m_settings.smallRequestBytes && m_smallHeld + bytes <= m_settings.shares.smallBytes;
}

bool MemoryAccount::fitsLarge(std::size_t bytes) const
{
    return m_largeHeld + bytes <= m_settings.shares.largeBytes;
}

bool MemoryAccount::draw(MemoryHolder holder, std::size_t bytes)
{
    auto *const held = find(holder);
    if (held == nullptr || (!fitsSmall(*held, bytes) && !fitsLarge(bytes))) {
        return false;
    }
    drawExisting(holder, bytes);
    return true;
}

void MemoryAccount::drawExisting(MemoryHolder holder, std::size_t bytes)
{
    auto *const held = find(holder);
    if (held == nullptr) {
        return;
    }
    if (fitsSmall(*held, bytes)) {
        held->smallBytes += bytes;
        m_smallHeld += bytes;
    } else {
        held->largeBytes += bytes;
        m_largeHeld += bytes;
    }
}

void MemoryAccount::release(MemoryHolder holder, std::size_t bytes)
{
    if (auto *const held = find(holder)) {
        const std::size_t large = std::min(bytes, held->largeBytes);
        const std::size_t small = std::min(bytes - large, held->smallBytes);
        held->largeBytes -= large;
        held->smallBytes -= small;
        m_largeHeld -= large;
        m_smallHeld -= small;
    }
}

void MemoryAccount::progressed(MemoryHolder holder, core::TimePoint now)
{
    if (auto *const held = find(holder)) {
        held->lastProgress = now;
    }
}

void MemoryAccount::setClosable(MemoryHolder holder, bool isClosable)
{
    if (auto *const held = find(holder)) {
        held->isClosable = isClosable;
        held->isClosing = held->isClosing && isClosable;
    }
}

std::vector<MemoryHolder> MemoryAccount::holdersToClose(std::size_t bytes, core::TimePoint now, std::size_t heldBytes)
{
    // What is drawn beyond the shares is in the process already: to wait would exhaust the memory.
    const bool closesActive = bytes == 0;
    const bool mayDrawSmall = !closesActive && isSmall(heldBytes + bytes);
    const bool fitsAlready = m_largeHeld + bytes <= m_settings.shares.largeBytes
        || (mayDrawSmall && m_smallHeld + bytes <= m_settings.shares.smallBytes);
    if (fitsAlready) {
        // The usual case: this is called for each part of an answer.
        return {};
    }
    std::size_t freedSmall = 0;
    std::size_t freedLarge = 0;
    std::vector<std::pair<double, MemoryHolder>> candidates;
    for (const auto &[id, holder] : m_holders) {
        const core::Duration inactivity = now - holder.lastProgress;
        if (holder.isClosing) {
            freedSmall += holder.smallBytes;
            freedLarge += holder.largeBytes;
        } else if (holder.isClosable && (closesActive || inactivity >= m_settings.minInactivity)) {
            const std::size_t freed = holder.largeBytes + (mayDrawSmall ? holder.smallBytes : 0);
            candidates.emplace_back(static_cast<double>(freed)
                                        * std::chrono::duration<double>(inactivity + minCountedInactivity).count(),
                                    id);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::vector<MemoryHolder> result;
    for (const auto &[cost, id] : candidates) {
        const bool fits = m_largeHeld - freedLarge + bytes <= m_settings.shares.largeBytes
            || (mayDrawSmall && m_smallHeld - freedSmall + bytes <= m_settings.shares.smallBytes);
        if (fits || cost == 0.0) {
            break;
        }
        Holder &holder = *find(id);
        holder.isClosing = true;
        freedSmall += holder.smallBytes;
        freedLarge += holder.largeBytes;
        result.push_back(id);
    }
    return result;
}

} // namespace lycheelanding::decisions::admission
