#pragma once

#include "Common/Sleep.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>

namespace Pollenwind {

/// Stand-in for a runner in trouble: it answers each connection with a beginning and then sends the same bytes until
/// the other side closes.
class EndlessRunner {
public:
    using tcp = asio::ip::tcp;

    explicit EndlessRunner(asio::io_context& context)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() }
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    /// Bytes before the endless ones. "{id}" stands for the id of the request.
    std::string beginning;
    std::string endless;
    /// Pause after each write.
    std::chrono::milliseconds pause { 0 };
    /// Size of the send buffers of its sockets; 0 leaves it to the system.
    int sendBufferBytes = 0;
    /// Bytes that the other side has taken, over all connections.
    std::size_t sentBytes = 0;
    /// Connections that the other side has closed.
    unsigned closed = 0;

private:
    Task<> accept()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
            if (ec) {
                co_return;
            }
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }

    Task<> serve(tcp::socket socket)
    {
        if (sendBufferBytes > 0) {
            socket.set_option(asio::socket_base::send_buffer_size(sendBufferBytes));
        }
        std::string head;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", asTuple);
        constexpr std::string_view field = "X-Request-Id: ";
        const auto at = head.find(field) + field.size();
        auto bytes = beginning;
        if (const auto place = bytes.find("{id}"); place != std::string::npos) {
            bytes.replace(place, 4, head.substr(at, head.find('\r', at) - at));
        }
        for (;;) {
            const auto [ec, n] = co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
            sentBytes += n;
            if (ec) {
                ++closed;
                co_return;
            }
            bytes = endless;
            if (pause.count() > 0) {
                co_await sleepFor(pause);
            }
        }
    }

    tcp::acceptor m_acceptor;

public:
    Endpoint endpoint;
};

} // namespace Pollenwind
