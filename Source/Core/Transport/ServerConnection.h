#pragma once

#include "Common/MemoryBudget.h"
#include "Transport/ConnectionEnd.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <utility>

namespace Pollenwind::detail {

/// One client of HttpServer.
struct ServerConnection {
    explicit ServerConnection(boost::asio::ip::tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    boost::beast::tcp_stream stream;
    /// Bytes that were received and not parsed.
    boost::beast::flat_buffer buf;
    /// Memory of the buffer and of the request.
    MemoryBudget::Share held { processMemory(), MemoryUse::Request };
    /// Parsed bytes of the present request that are held, and the part of them that its head takes.
    std::size_t requestBytes = 0;
    std::size_t headBytes = 0;
    /// Waits for a request of which nothing has arrived.
    bool isIdle = false;
    /// Begin of the last wait for a request.
    std::chrono::steady_clock::time_point idleSince;
    /// While it is idle, the time at which the promise of its last response ends; nothing without a promise, since its
    /// client then goes by an idle limit that it knows.
    std::optional<std::chrono::steady_clock::time_point> promiseEnd;
    /// It is closed or refused to make space, and does not count against the limit of connections any more.
    bool isEnding = false;
    /// Idle time that the last response promised.
    std::chrono::seconds promisedIdleTime { 0 };
    /// The last wait for a request.
    IdleWait wait;
    RequestTrace trace;
};

} // namespace Pollenwind::detail
