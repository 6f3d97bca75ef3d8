#include "lycheelanding/decisions/distribution/watcherelection.h"

#include "lycheelanding/core/stablehash.h"

#include <algorithm>
#include <string_view>

namespace lycheelanding::decisions::distribution {

bool isWatcher(const core::VmId &localVm, std::span<const core::VmId> members, std::size_t count)
{
    constexpr std::string_view key = "configuration watcher";
    const auto localScore = core::rendezvousScore(key, localVm.text());
    const auto precedesSelf = [&](const core::VmId &member) {
        return member != localVm && core::rendezvousScore(key, member.text()) > localScore;
    };
    const auto preceding = std::count_if(members.begin(), members.end(), precedesSelf);
    return static_cast<std::size_t>(preceding) < count;
}

} // namespace lycheelanding::decisions::distribution
