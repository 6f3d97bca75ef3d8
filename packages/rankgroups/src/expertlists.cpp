#include "lycheelanding/rankgroups/expertlists.h"

#include "private/compactlists.h"

#include <utility>

namespace lycheelanding::rankgroups {

std::string packExperts(const ExpertLists &experts)
{
    std::string bytes;
    appendNumber(bytes, experts.size());
    for (const auto &layer : experts) {
        appendLists(bytes, layer);
    }
    return bytes;
}

std::optional<ExpertLists> unpackExperts(std::string_view bytes)
{
    CompactReader reader(bytes);
    const auto layers = reader.length();
    if (!layers) {
        return std::nullopt;
    }
    ExpertLists experts;
    while (experts.size() < *layers) {
        auto layer = reader.lists();
        if (!layer) {
            return std::nullopt;
        }
        experts.push_back(std::move(*layer));
    }
    return reader.isAtEnd() ? std::optional(std::move(experts)) : std::nullopt;
}

} // namespace lycheelanding::rankgroups
