#pragma once

#include "Common/Task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>

#include <chrono>
#include <cstddef>
#include <memory>

namespace Pollenwind::detail {

/// Cancels the operations of a socket at a point in time. The socket stays open, so that bytes which arrived before the
/// process reacted to the limit can still be read, and a write can go on.
class SocketTimer {
public:
    /// @param socket Must outlive the timer.
    SocketTimer(asio::ip::tcp::socket& socket, std::chrono::steady_clock::time_point until);

    bool isExpired() const { return m_isExpired; }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_isExpired = false;
};

/// Bytes that were read, and why the read ended.
struct TimedRead {
    std::size_t bytes = 0;
    /// beast::error::timeout at the time limit. The socket stays open and may be read again.
    boost::beast::error_code error;
    /// The bytes were taken after the time limit or a cancellation; they had arrived before the process reacted to it.
    bool isLate = false;
};

/// Reads what arrives next. Other pending operations of the socket are cancelled at the time limit, too.
/// @param until Longest time to wait for bytes.
Task<TimedRead> readUntil(
    asio::ip::tcp::socket& socket, asio::mutable_buffer space, std::chrono::steady_clock::time_point until);

/// Waits until a read of the socket would not block, without reading.
/// @param until End of the wait. The socket stays open.
Task<> waitUntilReadable(boost::asio::ip::tcp::socket& socket, std::chrono::steady_clock::time_point until);

} // namespace Pollenwind::detail
