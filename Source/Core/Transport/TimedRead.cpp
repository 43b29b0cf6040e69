#include "Transport/TimedRead.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/error.hpp>

#include <memory>

namespace Pollenwind::detail {

namespace beast = boost::beast;
using tcp = asio::ip::tcp;
using TimePoint = std::chrono::steady_clock::time_point;

namespace {

    /// Cancels the operations of a socket at a point in time. The socket stays open, so that bytes which arrived before
    /// the process reacted to the limit can still be read.
    class SocketTimer {
    public:
        SocketTimer(tcp::socket& socket, TimePoint until)
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

        bool isExpired() const { return m_isExpired; }

    private:
        asio::steady_timer m_timer;
        std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
        bool m_isExpired = false;
    };

} // namespace

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

Task<std::size_t> awaitUnread(tcp::socket& socket, TimePoint until)
{
    {
        const SocketTimer timer(socket, until);
        co_await socket.async_wait(tcp::socket::wait_read, asTuple);
    }
    beast::error_code ec;
    const auto unread = socket.available(ec);
    co_return ec ? 0 : unread;
}

} // namespace Pollenwind::detail
