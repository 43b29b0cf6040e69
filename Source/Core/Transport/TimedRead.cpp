#include "Transport/TimedRead.h"

#include <boost/beast/core/error.hpp>

namespace Pollenwind::detail {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using TimePoint = std::chrono::steady_clock::time_point;

SocketTimer::SocketTimer(tcp::socket& socket, TimePoint until)
    : m_timer(socket.get_executor(), until)
{
    // The handler may run after the timer was destroyed; then the weak pointer has expired.
    m_timer.async_wait([this, &socket, alive = std::weak_ptr<bool>(m_alive)](const beast::error_code& ec) {
        if (!ec && alive.lock()) {
            m_isExpired = true;
            beast::error_code ignored;
            socket.cancel(ignored);
        }
    });
}

Task<TimedRead> readUntil(tcp::socket& socket, asio::mutable_buffer space, TimePoint until)
{
    TimedRead read;
    bool isExpired = false;
    {
        const SocketTimer timer(socket, until);
        std::tie(read.error, read.bytes) = co_await socket.async_read_some(space, asTuple);
        isExpired = timer.isExpired();
    }
    if (read.error == asio::error::operation_aborted && socket.is_open()) {
        // The process may have been held up, so the bytes may have arrived long before the operation was cancelled.
        read.bytes = socket.read_some(space, read.error);
        if (read.error == asio::error::would_block) {
            read.error = isExpired ? beast::error_code(beast::error::timeout) : asio::error::operation_aborted;
        } else if (!read.error) {
            read.isLate = true;
        }
    }
    co_return read;
}

Task<> waitUntilReadable(tcp::socket& socket, TimePoint until)
{
    const SocketTimer timer(socket, until);
    co_await socket.async_wait(tcp::socket::wait_read, asTuple);
}

} // namespace Pollenwind::detail
