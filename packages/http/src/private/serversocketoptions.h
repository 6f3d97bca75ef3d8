#pragma once

#include <cstddef>

namespace lycheelanding::http {

/// Requested size of the kernel's buffers of a caller's connection, each way, where memory is limited. By default they
/// grow to megabytes. At 5 ms between caller and entry it carries 6 MB/s, more than the links of the smallest VMs.
inline constexpr int socketBufferBytes = 32 * 1024;
/// What the kernel allocates for that at most: it doubles the size for its own structures.
inline constexpr std::size_t kernelBufferBytes = 2UL * socketBufferBytes;
/// Connections that wait to be accepted, where memory is limited; each may have received a full buffer.
inline constexpr int limitedBacklog = 256;

} // namespace lycheelanding::http
