#pragma once

#include "lycheelanding/core/ids.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace lycheelanding::decisions::membership {

struct SubsetSettings
{
    /// Backend servers that an entry should know at least, as far as there are so many.
    std::size_t targetSize = 20;
    /// Backend servers that an entry knows at most.
    std::size_t maxSize = 40;
    /// Entries that should know each backend server at least.
    std::size_t minEntriesPerBackend = 3;
};

/// An entry VM or a backend server (or a whole rank group, named by its id).
struct SubsetMember
{
    std::string name;
    core::DataCentreId dataCentre;
};

/// The backend servers that `self` connects to, by index into `backends`, in ascending order. Every process that sees
/// the same two lists finds the same subsets. Backend servers choose entries by rendezvous hashing, those of their own
/// data centre first, up to `maxSize` for each entry; an entry with too few fills up in the same way.
std::vector<std::size_t> entrySubset(const SubsetMember &self, std::span<const SubsetMember> entries,
                                     std::span<const SubsetMember> backends, const SubsetSettings &settings);

} // namespace lycheelanding::decisions::membership
