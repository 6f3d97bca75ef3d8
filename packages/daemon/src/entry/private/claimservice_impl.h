#pragma once

#include "entry/claimservice.h"

#include <string>
#include <utility>

namespace lycheelanding::daemon::entry {

template <services::KeyValueStore Store>
ClaimService<Store>::ClaimService(asio::io_context &context, Store &store)
    : m_store(store), m_timer(context, std::chrono::milliseconds(10), [this] { tickDuePartitions(); })
{ }

template <services::KeyValueStore Store>
void ClaimService<Store>::claim(const decisions::idempotency::ClaimRequest &request, ClaimHandler onDecision)
{
    handle(partitionOf(request.key), [&](Partition &partition, core::TimePoint now) {
        m_handlers.emplace(request.nonce, std::move(onDecision));
        return partition.claim(request, now);
    });
}

template <services::KeyValueStore Store>
void ClaimService<Store>::move(decisions::idempotency::KeyHash key, Nonce nonce,
                               const decisions::idempotency::SideId &side, ClaimHandler onDecision)
{
    handle(partitionOf(key), [&](Partition &partition, core::TimePoint now) {
        m_handlers.emplace(nonce, std::move(onDecision));
        return partition.move(nonce, side, now);
    });
}

template <services::KeyValueStore Store>
void ClaimService<Store>::release(decisions::idempotency::KeyHash key, Nonce nonce)
{
    handle(partitionOf(key),
           [nonce](Partition &partition, core::TimePoint now) { return partition.release(nonce, now); });
}

template <services::KeyValueStore Store>
void ClaimService<Store>::releaseForbidden(decisions::idempotency::KeyHash key, Nonce nonce,
                                           const decisions::idempotency::SideId &side)
{
    handle(partitionOf(key),
           [&](Partition &partition, core::TimePoint now) { return partition.releaseForbidden(nonce, side, now); });
}

template <services::KeyValueStore Store>
void ClaimService<Store>::setSettings(const decisions::idempotency::ClaimSettings &settings,
                                      std::uint64_t partitionCount)
{
    const std::scoped_lock lock(m_mutex);
    m_settings = settings;
    m_partitionCount = partitionCount;
}

template <services::KeyValueStore Store>
template <typename Event>
void ClaimService<Store>::handle(PartitionNumber number, Event event)
{
    SortedActions sorted;
    {
        const std::scoped_lock lock(m_mutex);
        sorted = sortActions(event(partition(number), m_clock.now()));
    }
    execute(number, std::move(sorted));
}

template <services::KeyValueStore Store>
typename ClaimService<Store>::SortedActions
ClaimService<Store>::sortActions(decisions::idempotency::ClaimActions actions)
{
    SortedActions sorted;
    const auto addCompletion = [this, &sorted](Nonce nonce, ClaimDecision decision) {
        const auto found = m_handlers.find(nonce);
        if (found != m_handlers.end()) {
            sorted.completions.push_back({std::move(found->second), std::move(decision)});
            m_handlers.erase(found);
        }
    };
    for (auto &action : actions) {
        if (std::holds_alternative<decisions::idempotency::ReadStore>(action)) {
            sorted.readsStore = true;
        } else if (auto *write = std::get_if<decisions::idempotency::WriteStore>(&action)) {
            sorted.writes.push_back(std::move(*write));
        } else if (const auto *granted = std::get_if<decisions::idempotency::Granted>(&action)) {
            addCompletion(granted->nonce, *granted);
        } else if (const auto *moved = std::get_if<decisions::idempotency::Moved>(&action)) {
            addCompletion(moved->nonce, *moved);
        } else if (const auto *refused = std::get_if<decisions::idempotency::Refused>(&action)) {
            addCompletion(refused->nonce, *refused);
        }
    }
    return sorted;
}

template <services::KeyValueStore Store>
void ClaimService<Store>::execute(PartitionNumber number, SortedActions sorted)
{
    using decisions::idempotency::StoreReadFailed;
    using decisions::idempotency::StoreReadResult;
    using decisions::idempotency::StoreRevision;
    using decisions::idempotency::StoreWriteResult;

    const auto key = "claims/" + std::to_string(number.number());
    if (sorted.readsStore) {
        m_store.read(key, [this, number](const core::Result<std::optional<services::StoredValue>> &answer) {
            StoreReadResult result = StoreReadFailed();
            if (core::isOk(answer)) {
                const auto value = core::valueOf(answer).value_or(services::StoredValue());
                result = decisions::idempotency::StoredValue{value.value, StoreRevision(value.revision)};
            }
            handle(number, [&](Partition &partition, core::TimePoint now) { return partition.storeRead(result, now); });
        });
    }
    for (auto &write : sorted.writes) {
        m_store.write(
            key, std::move(write.text), write.expected.number(), [this, number](const services::WriteAnswer &answer) {
                const auto result = writeResult(answer);
                handle(number,
                       [&](Partition &partition, core::TimePoint now) { return partition.storeWritten(result, now); });
            });
    }
    for (const auto &completion : sorted.completions) {
        completion.handler(completion.decision);
    }
}

template <services::KeyValueStore Store>
void ClaimService<Store>::tickDuePartitions()
{
    std::vector<PartitionNumber> due;
    {
        const std::scoped_lock lock(m_mutex);
        const auto now = m_clock.now();
        for (const auto &[number, partition] : m_partitions) {
            const auto wakeAt = partition.wakeAt();
            if (wakeAt && *wakeAt <= now) {
                due.push_back(number);
            }
        }
    }
    for (const auto number : due) {
        handle(number, [](Partition &partition, core::TimePoint now) { return partition.tick(now); });
    }
}

template <services::KeyValueStore Store>
typename ClaimService<Store>::PartitionNumber
ClaimService<Store>::partitionOf(decisions::idempotency::KeyHash key) const
{
    const std::scoped_lock lock(m_mutex);
    return decisions::idempotency::partitionOf(key, m_partitionCount);
}

template <services::KeyValueStore Store>
typename ClaimService<Store>::Partition &ClaimService<Store>::partition(PartitionNumber number)
{
    return m_partitions.try_emplace(number, m_settings).first->second;
}

} // namespace lycheelanding::daemon::entry
