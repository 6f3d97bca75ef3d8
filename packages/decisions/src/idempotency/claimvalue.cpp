#include "lycheelanding/decisions/idempotency/claimvalue.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace lycheelanding::decisions::idempotency {

namespace {

// The text format has one item per line; the first character is the type of the item.
//   1claims            first line, with format version 1
//   s<incarnation><VM> next entry of the table of sides; the incarnation has a fixed width
//   b<number>          start of a bucket; the following claims belong to it
//   c<claim>           fixed-width key, nonce, fingerprint and index of the side
// All fixed-width numbers are in base 64, least significant digit first.
constexpr std::string_view versionLine = "1claims";
constexpr std::string_view alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
constexpr unsigned bitsPerDigit = 6;
constexpr std::size_t numberWidth = 11;
constexpr std::size_t fingerprintWidth = 6;
constexpr std::size_t sideIndexWidth = 3;
constexpr std::size_t claimWidth = numberWidth + numberWidth + fingerprintWidth + sideIndexWidth;

void appendNumber(std::string &text, std::uint64_t number, std::size_t width)
{
    for (std::size_t digit = 0; digit < width; ++digit) {
        text += alphabet[number & (alphabet.size() - 1)];
        number >>= bitsPerDigit;
    }
}

std::array<std::int8_t, 256> makeDigitTable()
{
    std::array<std::int8_t, 256> table{};
    table.fill(-1);
    for (std::size_t digit = 0; digit < alphabet.size(); ++digit) {
        table[static_cast<unsigned char>(alphabet[digit])] = static_cast<std::int8_t>(digit);
    }
    return table;
}

/// Parses a number of `width` digits and removes it from the front of `text`.
std::optional<std::uint64_t> readNumber(std::string_view &text, std::size_t width)
{
    static const std::array<std::int8_t, 256> digits = makeDigitTable();
    std::uint64_t number = 0;
    for (std::size_t position = width; position > 0; --position) {
        const std::int8_t digit = digits[static_cast<unsigned char>(text[position - 1])];
        if (digit < 0) {
            return std::nullopt;
        }
        number = (number << bitsPerDigit) | static_cast<std::uint64_t>(digit);
    }
    text.remove_prefix(width);
    return number;
}

std::optional<Claim> parseClaim(std::string_view text, const std::vector<SideId> &sides)
{
    if (text.size() != claimWidth) {
        return std::nullopt;
    }
    const auto key = readNumber(text, numberWidth);
    const auto nonce = readNumber(text, numberWidth);
    const auto fingerprint = readNumber(text, fingerprintWidth);
    const auto sideIndex = readNumber(text, sideIndexWidth);
    if (!key || !nonce || !fingerprint || !sideIndex || *sideIndex >= sides.size()) {
        return std::nullopt;
    }
    return Claim{KeyHash(*key), AttemptNonce(*nonce), static_cast<std::uint32_t>(*fingerprint), sides[*sideIndex]};
}

std::string_view readLine(std::string_view &text)
{
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return line;
}

std::int64_t bucketOf(core::WallTime time)
{
    return std::chrono::floor<std::chrono::seconds>(time.time_since_epoch()) / ClaimValue::bucketWidth;
}

core::Error corruptValueError()
{
    return {core::ErrorKind::StoreUnavailable, "the claims in the key-value service cannot be read"};
}

} // namespace

const Claim *ClaimValue::claimForKey(KeyHash key) const
{
    for (const auto &[bucket, claims] : m_buckets) {
        const auto found
            = std::find_if(claims.begin(), claims.end(), [&](const Claim &claim) { return claim.key == key; });
        if (found != claims.end()) {
            return &*found;
        }
    }
    return nullptr;
}

const Claim *ClaimValue::claimForNonce(AttemptNonce nonce) const
{
    return const_cast<ClaimValue *>(this)->mutableClaimForNonce(nonce);
}

Claim *ClaimValue::mutableClaimForNonce(AttemptNonce nonce)
{
    for (auto &[bucket, claims] : m_buckets) {
        const auto found
            = std::find_if(claims.begin(), claims.end(), [&](const Claim &claim) { return claim.nonce == nonce; });
        if (found != claims.end()) {
            return &*found;
        }
    }
    return nullptr;
}

core::WallTime ClaimValue::bucketStartOf(AttemptNonce nonce) const
{
    for (const auto &[bucket, claims] : m_buckets) {
        const bool hasClaim
            = std::any_of(claims.begin(), claims.end(), [&](const Claim &claim) { return claim.nonce == nonce; });
        if (hasClaim) {
            return core::WallTime(bucket * bucketWidth);
        }
    }
    return {};
}

void ClaimValue::add(const Claim &claim, core::WallTime claimedAt)
{
    m_buckets[bucketOf(claimedAt)].push_back(claim);
    ++m_size;
}

void ClaimValue::remove(AttemptNonce nonce)
{
    for (auto bucket = m_buckets.begin(); bucket != m_buckets.end(); ++bucket) {
        std::vector<Claim> &claims = bucket->second;
        const std::size_t removed = std::erase_if(claims, [&](const Claim &claim) { return claim.nonce == nonce; });
        if (removed == 0) {
            continue;
        }
        m_size -= removed;
        if (claims.empty()) {
            m_buckets.erase(bucket);
        }
        return;
    }
}

void ClaimValue::move(AttemptNonce nonce, const SideId &side)
{
    if (Claim *claim = mutableClaimForNonce(nonce)) {
        claim->side = side;
    }
}

void ClaimValue::removeBefore(core::WallTime time)
{
    const std::int64_t firstKept = bucketOf(time);
    while (!m_buckets.empty() && m_buckets.begin()->first < firstKept) {
        m_size -= m_buckets.begin()->second.size();
        m_buckets.erase(m_buckets.begin());
    }
}

std::string ClaimValue::toText() const
{
    std::map<SideId, std::uint64_t> sideIndexes;
    std::string text(versionLine);
    text.reserve(m_size * (claimWidth + 2) + 1024);
    for (const auto &[bucket, claims] : m_buckets) {
        for (const Claim &claim : claims) {
            if (sideIndexes.try_emplace(claim.side, sideIndexes.size()).second) {
                text += "\ns";
                appendNumber(text, claim.side.incarnation.number(), numberWidth);
                text += claim.side.vm.text();
            }
        }
    }
    for (const auto &[bucket, claims] : m_buckets) {
        text += "\nb" + std::to_string(bucket);
        for (const Claim &claim : claims) {
            text += "\nc";
            appendNumber(text, claim.key.number(), numberWidth);
            appendNumber(text, claim.nonce.number(), numberWidth);
            appendNumber(text, claim.requestFingerprint, fingerprintWidth);
            appendNumber(text, sideIndexes.at(claim.side), sideIndexWidth);
        }
    }
    return text;
}

core::Result<ClaimValue> ClaimValue::fromText(std::string_view text)
{
    ClaimValue value;
    if (text.empty()) {
        return value;
    }
    if (readLine(text) != versionLine) {
        return corruptValueError();
    }
    std::vector<SideId> sides;
    std::vector<Claim> *claims = nullptr;
    while (!text.empty()) {
        std::string_view line = readLine(text);
        if (line.empty()) {
            return corruptValueError();
        }
        const char kind = line.front();
        line.remove_prefix(1);
        if (kind == 's') {
            const auto incarnation = line.size() < numberWidth ? std::nullopt : readNumber(line, numberWidth);
            if (!incarnation) {
                return corruptValueError();
            }
            sides.push_back({core::VmId(std::string(line)), core::Incarnation(*incarnation)});
        } else if (kind == 'b') {
            BucketNumber bucket = 0;
            const auto parsed = std::from_chars(line.data(), line.data() + line.size(), bucket);
            if (parsed.ec != std::errc() || parsed.ptr != line.data() + line.size()) {
                return corruptValueError();
            }
            claims = &value.m_buckets[bucket];
        } else {
            const auto claim = parseClaim(line, sides);
            if (kind != 'c' || claims == nullptr || !claim) {
                return corruptValueError();
            }
            claims->push_back(*claim);
            ++value.m_size;
        }
    }
    return value;
}

} // namespace lycheelanding::decisions::idempotency
