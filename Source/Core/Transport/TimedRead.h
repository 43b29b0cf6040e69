#pragma once

#include "Common/Task.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/error.hpp>

#include <chrono>
#include <cstddef>

namespace Pollenwind::detail {

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

/// Waits until bytes arrive or the other end closes, and reads nothing. Other pending operations of the socket are
/// cancelled at the time limit, too.
/// @return Number of bytes that can be read.
Task<std::size_t> awaitUnread(asio::ip::tcp::socket& socket, std::chrono::steady_clock::time_point until);

} // namespace Pollenwind::detail
