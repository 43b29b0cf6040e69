#pragma once

#include <chrono>

namespace Pollenwind {

/// Sets TCP_NODELAY, TCP keep-alive and TCP_USER_TIMEOUT, so that a connection whose other end is gone without a
/// trace fails within the given time even when nothing is written.
/// @param handle Native socket.
/// @param timeout Longest time without acknowledgement.
void setLowLatencyOptions(int handle, std::chrono::milliseconds timeout);

/// Tells whether the other side closed the connection. Reads nothing and does not block.
bool isClosedByPeer(int handle);

} // namespace Pollenwind
