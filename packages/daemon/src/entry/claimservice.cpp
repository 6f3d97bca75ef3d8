#include "entry/claimservice.h"

namespace lycheelanding::daemon::entry {

decisions::idempotency::StoreWriteResult writeResult(const services::WriteAnswer &answer)
{
    using decisions::idempotency::StoreRevision;
    switch (answer.outcome) {
    case services::WriteOutcome::Written:
        return decisions::idempotency::WriteDone{StoreRevision(answer.revision)};
    case services::WriteOutcome::Conflict:
        return decisions::idempotency::WriteConflict();
    case services::WriteOutcome::Unknown:
        return decisions::idempotency::WriteUnknown();
    case services::WriteOutcome::Unavailable:
        break;
    }
    return decisions::idempotency::WriteFailed();
}

} // namespace lycheelanding::daemon::entry
