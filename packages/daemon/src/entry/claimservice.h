#pragma once

#include "lycheelanding/core/clock.h"
#include "lycheelanding/decisions/idempotency/claimpartition.h"
#include "lycheelanding/services/keyvaluestore.h"
#include "runtime/workerpool.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <variant>

namespace lycheelanding::daemon::entry {

/// Result of one claim() or move().
using ClaimDecision
    = std::variant<decisions::idempotency::Granted, decisions::idempotency::Moved, decisions::idempotency::Refused>;
using ClaimHandler = std::function<void(const ClaimDecision &)>;

/// Converts the result of a write to the type that the claim partitions expect.
decisions::idempotency::StoreWriteResult writeResult(const services::WriteAnswer &answer);

/// Runs the claim partitions of this entry against the key-value service. All members may be called from any thread.
template <services::KeyValueStore Store>
class ClaimService
{
public:
    ClaimService(asio::io_context &context, Store &store);

    /// `onDecision` is called once, on any thread.
    void claim(const decisions::idempotency::ClaimRequest &request, ClaimHandler onDecision);
    void move(decisions::idempotency::KeyHash key, decisions::idempotency::AttemptNonce nonce,
              const decisions::idempotency::SideId &side, ClaimHandler onDecision);
    void release(decisions::idempotency::KeyHash key, decisions::idempotency::AttemptNonce nonce);
    void releaseForbidden(decisions::idempotency::KeyHash key, decisions::idempotency::AttemptNonce nonce,
                          const decisions::idempotency::SideId &side);
    /// The settings take effect only for partitions that have not been used yet.
    void setSettings(const decisions::idempotency::ClaimSettings &settings, std::uint64_t partitionCount);

private:
    using Partition = decisions::idempotency::ClaimPartition;
    using PartitionNumber = decisions::idempotency::PartitionNumber;
    using Nonce = decisions::idempotency::AttemptNonce;

    struct Completion
    {
        ClaimHandler handler;
        ClaimDecision decision;
    };

    struct SortedActions
    {
        std::vector<decisions::idempotency::WriteStore> writes;
        bool readsStore = false;
        std::vector<Completion> completions;
    };

    /// Applies `event` to the partition under the lock, then executes the resulting actions without it.
    template <typename Event>
    void handle(PartitionNumber number, Event event);
    SortedActions sortActions(decisions::idempotency::ClaimActions actions);
    void execute(PartitionNumber number, SortedActions sorted);
    void tickDuePartitions();
    PartitionNumber partitionOf(decisions::idempotency::KeyHash key) const;
    Partition &partition(PartitionNumber number);

    Store &m_store;
    core::SystemClock m_clock;
    mutable std::mutex m_mutex;
    decisions::idempotency::ClaimSettings m_settings;
    std::uint64_t m_partitionCount = decisions::idempotency::defaultPartitionCount;
    std::map<PartitionNumber, Partition> m_partitions;
    std::map<Nonce, ClaimHandler> m_handlers;
    runtime::RepeatingTimer m_timer;
};

} // namespace lycheelanding::daemon::entry

#include "entry/private/claimservice_impl.h"
