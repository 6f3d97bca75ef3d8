#pragma once

#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace lycheelanding::decisions::membership {

struct SubsetSettings
{
    /// Minimum number of backend servers per entry, if there are that many.
    std::size_t targetSize = 20;
    /// Maximum number of backend servers per entry.
    std::size_t maxSize = 40;
    /// Minimum number of entries per backend server, as far as maxSize allows.
    std::size_t minEntriesPerBackend = 3;
};

/// An entry VM or a backend server (or a whole rank group, named by its id).
struct SubsetMember
{
    std::string name;
    core::DataCentreId dataCentre;
};

/// Returns the backend servers that `localEntry` connects to, as ascending indices into `backends`. Processes with the
/// same two lists compute the same subsets. Each backend server selects entries by rendezvous hashing, those of its own
/// data centre first, up to `maxSize` per entry. An entry below `targetSize` selects further backend servers the same
/// way.
std::vector<std::size_t> entrySubset(const SubsetMember &localEntry, std::span<const SubsetMember> entries,
                                     std::span<const SubsetMember> backends, const SubsetSettings &settings);

} // namespace lycheelanding::decisions::membership
