#pragma once

#include "entry/claimservice.h"
#include "entry/classifiedrequest.h"
#include "entry/instrumentedstore.h"

#include "lycheelanding/decisions/idempotency/claimkey.h"
#include "lycheelanding/http/httpserver.h"
#include "lycheelanding/wire/messages.h"

#include <optional>

namespace lycheelanding::daemon::entry {

/// The claim of one request with an idempotency key: which side may run it, or which attempt of another request holds
/// the key. Accessed only on the request's strand.
class RequestClaim
{
public:
    RequestClaim(ClaimService<InstrumentedStore> &claims, const ClassifiedRequest &request);

    bool isGrantedFor(const decisions::idempotency::SideId &side) const
    {
        return m_claim && m_claim->isGranted && m_claim->side == side;
    }
    /// The attempt of another request that holds the key; nothing before setHolder().
    const std::optional<decisions::idempotency::Holder> &holder() const { return m_holder; }
    /// The reference by which a side checks the claim; nothing while there is no claim.
    std::optional<wire::ClaimReference> reference() const;
    wire::ClaimReference holderReference() const;

    /// Claims the key for an attempt at `side`, or moves a granted claim to that side. `onDecision` is called once, on
    /// any thread.
    void obtain(const decisions::idempotency::SideId &side, const http::HttpRequest &request, core::WallTime wallNow,
                ClaimHandler onDecision);
    /// Applies the result of obtain(). Returns the refusal when the request must not run.
    std::optional<decisions::idempotency::Refused> applyDecision(const ClaimDecision &decision);
    void setHolder(const decisions::idempotency::Holder &holder) { m_holder = holder; }
    /// Releases the holder's claim; to be called after the holder's side has guaranteed never to run the attempt.
    void releaseHolder();
    /// Releases this request's claim; to be called only if the request provably has not run and never will.
    void release();

private:
    struct Claim
    {
        decisions::idempotency::AttemptNonce nonce;
        decisions::idempotency::SideId side;
        core::WallTime claimedAt;
        bool isGranted = false;
    };

    ClaimService<InstrumentedStore> &m_claims;
    const decisions::idempotency::KeyHash m_key;
    const std::optional<core::WallTime> m_keyCreatedAt;
    std::optional<Claim> m_claim;
    std::optional<decisions::idempotency::Holder> m_holder;
};

} // namespace lycheelanding::daemon::entry
