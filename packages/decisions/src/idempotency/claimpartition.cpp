#include "lycheelanding/decisions/idempotency/claimpartition.h"

#include <algorithm>
#include <utility>

namespace lycheelanding::decisions::idempotency {

namespace {

Holder holderOf(const ClaimValue &value, const Claim &claim, const ClaimRequest &request)
{
    const bool isSameRequest = claim.requestFingerprint == request.requestFingerprint;
    return {claim.nonce, claim.side, value.bucketStartOf(claim.nonce), isSameRequest};
}

} // namespace

ClaimPartition::ClaimPartition(const ClaimSettings &settings) : m_settings(settings) { }

ClaimActions ClaimPartition::claim(const ClaimRequest &request, core::TimePoint now)
{
    ClaimActions actions;
    m_latestWallTime = std::max(m_latestWallTime, request.wallNow);
    if (auto error = keyAgeError(request)) {
        actions.emplace_back(Refused{request.nonce, *std::move(error)});
        return actions;
    }
    if (m_pending.size() >= m_settings.maxPending) {
        core::Error error{core::ErrorKind::Overloaded, "too many claims wait", m_settings.storeRetryInterval};
        actions.emplace_back(Refused{request.nonce, std::move(error)});
        return actions;
    }
    addPending(request, false, now);
    processPending(now, actions);
    return actions;
}

ClaimActions ClaimPartition::move(AttemptNonce nonce, const SideId &side, core::TimePoint now)
{
    ClaimActions actions;
    ClaimRequest request;
    request.nonce = nonce;
    request.side = side;
    addPending(request, true, now);
    processPending(now, actions);
    return actions;
}

ClaimActions ClaimPartition::release(AttemptNonce nonce, core::TimePoint now)
{
    ClaimActions actions;
    const auto pending = std::find_if(m_pending.begin(), m_pending.end(),
                                      [&](const Pending &each) { return each.request.nonce == nonce; });
    const bool wasNeverWritten = pending != m_pending.end() && !pending->isMove && !pending->mayBeStored;
    if (pending != m_pending.end()) {
        m_pending.erase(pending);
    }
    if (!wasNeverWritten) {
        m_removals[nonce] = Removal{};
    }
    processPending(now, actions);
    return actions;
}

ClaimActions ClaimPartition::releaseForbidden(AttemptNonce nonce, const SideId &side, core::TimePoint now)
{
    ClaimActions actions;
    m_removals.try_emplace(nonce, Removal{side});
    processPending(now, actions);
    return actions;
}

ClaimActions ClaimPartition::storeRead(const StoreReadResult &result, core::TimePoint now)
{
    ClaimActions actions;
    m_call = StoreCall::None;
    const auto *stored = std::get_if<StoredValue>(&result);
    auto value = stored != nullptr ? ClaimValue::fromText(stored->text) : core::Error{};
    if (core::isOk(value)) {
        adoptValue(core::takeValue(std::move(value)), stored->revision, actions);
    } else {
        m_backoffUntil = now + m_settings.storeRetryInterval;
    }
    processPending(now, actions);
    return actions;
}

ClaimActions ClaimPartition::storeWritten(const StoreWriteResult &result, core::TimePoint now)
{
    ClaimActions actions;
    m_call = StoreCall::None;
    if (const auto *done = std::get_if<WriteDone>(&result)) {
        adoptValue(std::exchange(m_valueBeingWritten, ClaimValue()), done->revision, actions);
    } else if (std::holds_alternative<WriteFailed>(result)) {
        m_backoffUntil = now + m_settings.storeRetryInterval;
    } else {
        // Without a response, the write may still take effect after the next read, so m_unresolvedRevision records it.
        if (std::holds_alternative<WriteUnknown>(result)) {
            m_unresolvedRevision = m_revision;
        }
        m_value.reset();
    }
    processPending(now, actions);
    return actions;
}

ClaimActions ClaimPartition::tick(core::TimePoint now)
{
    ClaimActions actions;
    processPending(now, actions);
    return actions;
}

std::optional<core::TimePoint> ClaimPartition::wakeAt() const
{
    std::optional<core::TimePoint> due;
    const auto includeTime = [&](core::TimePoint time) { due = due ? std::min(*due, time) : time; };
    for (const Pending &pending : m_pending) {
        includeTime(pending.deadline);
    }
    if (m_call != StoreCall::None || !hasWork()) {
        return due;
    }
    if (m_backoffUntil) {
        includeTime(*m_backoffUntil);
    }
    if (m_lastWriteStart) {
        includeTime(*m_lastWriteStart + m_settings.minWriteInterval);
    }
    return due;
}

bool ClaimPartition::isBackingOff(core::TimePoint now) const
{
    return m_backoffUntil && now < *m_backoffUntil;
}

bool ClaimPartition::isWriteAllowed(core::TimePoint now) const
{
    return !m_lastWriteStart || now >= *m_lastWriteStart + m_settings.minWriteInterval;
}

bool ClaimPartition::hasWork() const
{
    return !m_pending.empty() || !m_removals.empty();
}

std::optional<core::Error> ClaimPartition::keyAgeError(const ClaimRequest &request) const
{
    if (!request.keyCreatedAt) {
        return std::nullopt;
    }
    // Refuses the key before any entry can have removed its claim, even with the maximum clock skew.
    const auto lifetime = m_settings.retention - m_settings.maxClockSkew - m_settings.claimTimeout;
    if (*request.keyCreatedAt + lifetime <= request.wallNow) {
        return core::Error{core::ErrorKind::IdempotencyKeyExpired, "the key was created too long ago"};
    }
    if (*request.keyCreatedAt > request.wallNow + m_settings.maxClockSkew) {
        return core::Error{core::ErrorKind::MalformedRequest, "the key's creation time lies in the future"};
    }
    return std::nullopt;
}

void ClaimPartition::addPending(const ClaimRequest &request, bool isMove, core::TimePoint now)
{
    m_pending.push_back({request, now + m_settings.claimTimeout, ++m_sequence, isMove, false});
}

void ClaimPartition::adoptValue(ClaimValue value, StoreRevision revision, ClaimActions &actions)
{
    m_value = std::move(value);
    m_revision = revision;
    m_backoffUntil.reset();
    m_confirmedSequence = m_callSequence;
    if (m_unresolvedRevision && revision > *m_unresolvedRevision) {
        m_unresolvedRevision.reset();
    }
    dropCompletedRemovals();
    resolvePending(actions);
}

void ClaimPartition::dropCompletedRemovals()
{
    std::erase_if(m_removals, [this](const auto &pair) {
        const auto &[nonce, removal] = pair;
        const Claim *claim = m_value->claimForNonce(nonce);
        if (claim == nullptr) {
            return !m_unresolvedRevision;
        }
        return removal.requiredSide && claim->side != *removal.requiredSide;
    });
}

void ClaimPartition::resolvePending(ClaimActions &actions)
{
    std::erase_if(m_pending, [&](const Pending &pending) { return tryResolve(pending, actions); });
}

bool ClaimPartition::tryResolve(const Pending &pending, ClaimActions &actions) const
{
    const ClaimRequest &request = pending.request;
    const bool isConfirmedSince = pending.arrival < m_confirmedSequence;
    if (pending.isMove) {
        const Claim *movedClaim = m_value->claimForNonce(request.nonce);
        if (movedClaim != nullptr && movedClaim->side == request.side) {
            actions.emplace_back(Moved{request.nonce});
            return true;
        }
        if (movedClaim == nullptr && isConfirmedSince) {
            core::Error error{core::ErrorKind::AlreadyClaimed, "the claim has passed to another attempt"};
            actions.emplace_back(Refused{request.nonce, std::move(error)});
            return true;
        }
        return false;
    }
    const Claim *claim = m_value->claimForKey(request.key);
    if (claim == nullptr) {
        return false;
    }
    if (claim->nonce == request.nonce) {
        actions.emplace_back(Granted{request.nonce, request.wallNow});
        return true;
    }
    // A claim that is about to be removed does not block the next one.
    if (!isConfirmedSince || m_removals.contains(claim->nonce)) {
        return false;
    }
    core::Error error{core::ErrorKind::AlreadyClaimed, "another attempt holds the key"};
    actions.emplace_back(Refused{request.nonce, std::move(error), holderOf(*m_value, *claim, request)});
    return true;
}

void ClaimPartition::processPending(core::TimePoint now, ClaimActions &actions)
{
    refuseTimedOut(now, actions);
    if (m_call != StoreCall::None || !hasWork() || isBackingOff(now)) {
        return;
    }
    if (!m_value) {
        startRead(actions);
        return;
    }
    if (isWriteAllowed(now)) {
        startWrite(now, actions);
    }
}

void ClaimPartition::startRead(ClaimActions &actions)
{
    m_call = StoreCall::Read;
    m_callSequence = ++m_sequence;
    actions.emplace_back(ReadStore{});
}

void ClaimPartition::startWrite(core::TimePoint now, ClaimActions &actions)
{
    ClaimValue next = *m_value;
    next.removeBefore(m_latestWallTime - m_settings.retention - m_settings.maxClockSkew);
    for (const auto &[nonce, removal] : m_removals) {
        const Claim *claim = next.claimForNonce(nonce);
        if (claim != nullptr && (!removal.requiredSide || claim->side == *removal.requiredSide)) {
            next.remove(nonce);
        }
    }
    const bool hasChanged = applyPending(next, actions);
    if (!hasChanged && m_removals.empty()) {
        // The keys of the remaining claims are held in a value that is older than those claims: read the current one.
        if (!m_pending.empty()) {
            startRead(actions);
        }
        return;
    }
    m_valueBeingWritten = std::move(next);
    m_call = StoreCall::Write;
    m_callSequence = ++m_sequence;
    m_lastWriteStart = now;
    actions.emplace_back(WriteStore{m_valueBeingWritten.toText(), m_revision});
}

bool ClaimPartition::applyPending(ClaimValue &next, ClaimActions &actions)
{
    bool hasChanged = false;
    std::erase_if(m_pending, [&](Pending &pending) {
        const ClaimRequest &request = pending.request;
        if (pending.isMove) {
            next.move(request.nonce, request.side);
            hasChanged = hasChanged || next.claimForNonce(request.nonce) != nullptr;
            return false;
        }
        if (next.claimForKey(request.key) != nullptr) {
            return false;
        }
        if (next.size() >= m_settings.maxClaims) {
            refuse(pending, {core::ErrorKind::Overloaded, "too many claims", m_settings.storeRetryInterval}, actions);
            return true;
        }
        next.add({request.key, request.nonce, request.requestFingerprint, request.side}, request.wallNow);
        pending.mayBeStored = true;
        hasChanged = true;
        return false;
    });
    return hasChanged;
}

void ClaimPartition::refuseTimedOut(core::TimePoint now, ClaimActions &actions)
{
    const bool isInBackoff = isBackingOff(now);
    const auto untilRetry = isInBackoff ? *m_backoffUntil - now : core::Duration(m_settings.storeRetryInterval);
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(untilRetry);
    std::erase_if(m_pending, [&](const Pending &pending) {
        if (!isInBackoff && now < pending.deadline) {
            return false;
        }
        refuse(pending, {core::ErrorKind::StoreUnavailable, "the claim could not be written", retryAfter}, actions);
        return true;
    });
}

void ClaimPartition::refuse(const Pending &pending, core::Error error, ClaimActions &actions)
{
    // The caller may retry with the same key, so a claim that may be stored has to be removed.
    if (pending.mayBeStored || pending.isMove) {
        m_removals[pending.request.nonce] = Removal{};
    }
    actions.emplace_back(Refused{pending.request.nonce, std::move(error)});
}

} // namespace lycheelanding::decisions::idempotency
