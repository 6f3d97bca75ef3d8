#include "faultproxy/forwarder.h"

#include <asio/write.hpp>

#include <algorithm>
#include <utility>

namespace lycheelanding::standins::faultproxy {

namespace {

constexpr std::size_t maxBufferedBytes = 1024UL * 1024;

} // namespace

Forwarder::Forwarder(Direction direction, Socket &source, Socket &destination, const ProxySetting &setting)
    : m_direction(direction), m_source(source), m_destination(destination), m_setting(setting),
      m_timer(source.get_executor())
{ }

void Forwarder::start(const std::weak_ptr<void> &owner, std::function<void()> onEnd, std::function<void()> onFailure)
{
    m_owner = owner;
    m_onEnd = std::move(onEnd);
    m_onFailure = std::move(onFailure);
    applySetting();
    read();
}

void Forwarder::applySetting()
{
    const bool isTruncated = m_setting.mode == ProxyMode::Truncate && m_direction == Direction::ToClient;
    m_bytesUntilTruncation = isTruncated ? std::optional(m_setting.truncateAfterBytes) : std::nullopt;
    forward();
}

void Forwarder::stop()
{
    // The chunks are kept: a write in progress may still read the first one.
    m_stopped = true;
    m_onEnd = nullptr;
    m_onFailure = nullptr;
    m_timer.cancel();
}

void Forwarder::read()
{
    if (m_stopped || m_reading || m_sourceEnded || m_bufferedBytes >= maxBufferedBytes) {
        return;
    }
    m_reading = true;
    m_source.async_read_some(
        asio::buffer(m_buffer),
        [this, owner = m_owner.lock()](const asio::error_code &error, std::size_t size) { finishRead(error, size); });
}

void Forwarder::finishRead(const asio::error_code &error, std::size_t size)
{
    m_reading = false;
    if (error) {
        // Held back like data: a network that drops packets does not deliver the end of the stream either.
        m_sourceEnded = true;
    } else {
        m_chunks.push_back({std::string(m_buffer.data(), size), std::chrono::steady_clock::now() + m_setting.delay});
        m_bufferedBytes += size;
        read();
    }
    forward();
}

void Forwarder::forward()
{
    if (m_stopped || m_writing || m_timerPending || m_setting.isBlocked(m_direction)) {
        return;
    }
    if (m_chunks.empty()) {
        if (m_sourceEnded) {
            finishDirection();
        }
        return;
    }
    if (m_chunks.front().due <= std::chrono::steady_clock::now()) {
        write();
        return;
    }
    m_timerPending = true;
    m_timer.expires_at(m_chunks.front().due);
    m_timer.async_wait([this, owner = m_owner.lock()](const asio::error_code &) {
        m_timerPending = false;
        forward();
    });
}

void Forwarder::write()
{
    m_closesAfterWrite = truncateNextChunk();
    m_writing = true;
    asio::async_write(
        m_destination, asio::buffer(m_chunks.front().bytes),
        [this, owner = m_owner.lock()](const asio::error_code &error, std::size_t) { finishWrite(error); });
}

bool Forwarder::truncateNextChunk()
{
    if (!m_bytesUntilTruncation) {
        return false;
    }
    std::string &bytes = m_chunks.front().bytes;
    const auto allowedBytes = std::min<std::uint64_t>(*m_bytesUntilTruncation, bytes.size());
    m_bufferedBytes -= bytes.size() - allowedBytes;
    bytes.resize(allowedBytes);
    *m_bytesUntilTruncation -= allowedBytes;
    return *m_bytesUntilTruncation == 0;
}

void Forwarder::finishWrite(const asio::error_code &error)
{
    m_writing = false;
    if (error || m_closesAfterWrite) {
        if (const auto onFailure = std::exchange(m_onFailure, nullptr)) {
            onFailure();
        }
        return;
    }
    m_bufferedBytes -= m_chunks.front().bytes.size();
    m_chunks.pop_front();
    read();
    forward();
}

void Forwarder::finishDirection()
{
    asio::error_code ignored;
    m_destination.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (const auto onEnd = std::exchange(m_onEnd, nullptr)) {
        onEnd();
    }
}

} // namespace lycheelanding::standins::faultproxy
