#include "entry/requestclaim.h"

#include "lycheelanding/core/stablehash.h"
#include "shared/randomnumbers.h"

#include <utility>

namespace lycheelanding::daemon::entry {

namespace {

using namespace decisions::idempotency;

std::uint32_t fingerprintOf(const http::HttpRequest &request)
{
    return static_cast<std::uint32_t>(core::stableHash(request.method + " " + request.target + "\n" + request.body));
}

wire::ClaimReference claimReference(AttemptNonce nonce, const SideId &side, core::WallTime claimedAt)
{
    return {nonce.number(), side.incarnation, claimedAt.time_since_epoch().count()};
}

} // namespace

RequestClaim::RequestClaim(ClaimService<InstrumentedStore> &claims, const ClassifiedRequest &request)
    : m_claims(claims), m_key(keyHashOf(request.organisation, request.idempotencyKey)),
      m_keyCreatedAt(creationTimeOf(request.idempotencyKey))
{ }

std::optional<wire::ClaimReference> RequestClaim::reference() const
{
    return m_claim ? std::optional(claimReference(m_claim->nonce, m_claim->side, m_claim->claimedAt)) : std::nullopt;
}

wire::ClaimReference RequestClaim::holderReference() const
{
    return claimReference(m_holder->nonce, m_holder->side, m_holder->claimedAt);
}

void RequestClaim::obtain(const SideId &side, const http::HttpRequest &request, core::WallTime wallNow,
                          ClaimHandler onDecision)
{
    if (m_claim && m_claim->isGranted) {
        m_claim->side = side;
        m_claims.move(m_key, m_claim->nonce, side, std::move(onDecision));
        return;
    }
    m_claim = Claim{AttemptNonce(shared::randomNumber()), side, wallNow, false};
    m_claims.claim({m_key, m_claim->nonce, fingerprintOf(request), side, wallNow, m_keyCreatedAt},
                   std::move(onDecision));
}

std::optional<Refused> RequestClaim::applyDecision(const ClaimDecision &decision)
{
    if (const auto *refused = std::get_if<Refused>(&decision)) {
        if (!m_claim->isGranted) {
            m_claim.reset();
        }
        return *refused;
    }
    if (const auto *granted = std::get_if<Granted>(&decision)) {
        m_claim->claimedAt = granted->claimedAt;
    }
    m_claim->isGranted = true;
    return std::nullopt;
}

void RequestClaim::releaseHolder()
{
    m_claims.releaseForbidden(m_key, m_holder->nonce, m_holder->side);
}

void RequestClaim::release()
{
    if (m_claim) {
        m_claims.release(m_key, m_claim->nonce);
    }
}

} // namespace lycheelanding::daemon::entry
