#include "lycheelanding/decisions/idempotency/claimkey.h"

#include "lycheelanding/core/stablehash.h"

#include <string>

namespace lycheelanding::decisions::idempotency {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t uuidVersionPosition = 14;

bool isUuidDash(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<std::uint64_t> hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    if (character >= 'a' && character <= 'f') {
        return character - 'a' + 10;
    }
    if (character >= 'A' && character <= 'F') {
        return character - 'A' + 10;
    }
    return std::nullopt;
}

} // namespace

KeyHash keyHashOf(const core::OrganisationId &organisation, std::string_view idempotencyKey)
{
    // The length prefix gives organisation "ab" with key "c" another hash input than organisation "a" with key "bc".
    std::string text = std::to_string(organisation.text().size());
    text += ':';
    text += organisation.text();
    text += idempotencyKey;
    return KeyHash(core::stableHash(text));
}

PartitionNumber partitionOf(KeyHash key, std::uint64_t partitionCount)
{
    return PartitionNumber(key.number() % partitionCount);
}

std::optional<core::VmId> partitionWriterHint(PartitionNumber partition, std::span<const core::VmId> liveEntries)
{
    const std::string key = "claims/" + std::to_string(partition.number());
    const core::VmId *best = nullptr;
    std::uint64_t bestScore = 0;
    for (const core::VmId &entry : liveEntries) {
        const std::uint64_t score = core::rendezvousScore(key, entry.text());
        if (best == nullptr || score > bestScore) {
            best = &entry;
            bestScore = score;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

std::optional<core::WallTime> creationTimeOf(std::string_view idempotencyKey)
{
    if (idempotencyKey.size() != uuidLength || idempotencyKey[uuidVersionPosition] != '7') {
        return std::nullopt;
    }
    constexpr std::size_t timeDigits = 12;
    std::uint64_t milliseconds = 0;
    std::size_t digits = 0;
    for (std::size_t position = 0; position < uuidLength; ++position) {
        if (isUuidDash(position)) {
            if (idempotencyKey[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto digit = hexDigit(idempotencyKey[position]);
        if (!digit) {
            return std::nullopt;
        }
        if (digits < timeDigits) {
            milliseconds = milliseconds * 16 + *digit;
        }
        ++digits;
    }
    return core::WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace lycheelanding::decisions::idempotency
