#pragma once

#include <chrono>

namespace Pollenwind {

/// Sets TCP_NODELAY, TCP keep-alive and TCP_USER_TIMEOUT, so that a connection whose other end disappeared without
/// closing it fails even when nothing is written. Errors are ignored.
/// @param handle Native socket.
/// @param timeout Longest time without acknowledgement of sent data. Keep-alive probes start after the same time
///     without traffic, rounded down to seconds and at least 1 s.
void setLowLatencyOptions(int handle, std::chrono::milliseconds timeout);

/// Tells whether the other side closed or reset the connection. It does not block or consume data; while received data
/// is unread, it returns false.
bool isClosedByPeer(int handle);

/// Tells whether a connection is open and all received data has been read. It does not block or consume data.
bool isOpenAndDrained(int handle);

} // namespace Pollenwind
