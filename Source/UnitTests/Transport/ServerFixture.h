#pragma once

#include "Common/Sleep.h"
#include "Transport/HttpServer.h"
#include "Transport/SocketOptions.h"

#include <boost/asio/io_context.hpp>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Pollenwind {

/// Client with a plain socket. Its bytes are in the server's socket when send() returns, whether or not the server
/// runs.
class RawClient {
public:
    explicit RawClient(const Endpoint& server)
        : m_handle(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(server.port);
        inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
        cr_assert_eq(connect(m_handle, reinterpret_cast<const sockaddr*>(&address), sizeof address), 0);
    }
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;
    ~RawClient() { close(m_handle); }

    /// Sends bytes and waits until the kernel has acknowledged them or the server has closed the connection.
    void send(std::string_view bytes) const
    {
        const auto n = ::send(m_handle, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n < 0 || isClosedByPeer(m_handle)) {
            return;
        }
        cr_assert_eq(n, static_cast<ssize_t>(bytes.size()));
        for (int unacknowledged = 1; unacknowledged > 0 && !isClosedByPeer(m_handle);) {
            cr_assert_eq(ioctl(m_handle, SIOCOUTQ, &unacknowledged), 0);
            std::this_thread::yield();
        }
    }

    /// Takes the bytes that have arrived.
    /// @return False when the server has closed the connection.
    bool receive()
    {
        for (;;) {
            char buf[4096];
            const auto n = recv(m_handle, buf, sizeof buf, MSG_DONTWAIT);
            if (n > 0) {
                m_received.append(buf, static_cast<std::size_t>(n));
                continue;
            }
            return n < 0 && errno == EAGAIN;
        }
    }

    /// Whether the server reset the connection, as a close with unread bytes does.
    bool isReset() const
    {
        int error = 0;
        socklen_t size = sizeof error;
        cr_assert_eq(getsockopt(m_handle, SOL_SOCKET, SO_ERROR, &error, &size), 0);
        return error != 0;
    }

    /// Everything that was received.
    const std::string& received() const { return m_received; }
    void clear() { m_received.clear(); }

private:
    int m_handle;
    std::string m_received;
};

/// Serves each request with its path and the size of its body.
class EchoHandler final : public HttpHandler {
public:
    Task<> handle(HttpExchange& exchange) override
    {
        const auto& request = exchange.request();
        exchange.setRequestId(request.path);
        ++requests;
        if (leavesUnanswered) {
            co_return;
        }
        if (fails) {
            throw std::runtime_error("the handler fails");
        }
        while (isHeld) {
            co_await sleepFor(std::chrono::milliseconds(1));
        }
        co_await exchange.answer({ 200, "", request.path + " " + std::to_string(request.body.size()), {} });
    }
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }
    void onConnectionEvent(ConnectionEvent event) override { ++events[event]; }
    void onConnectionEnd(const ConnectionEnd& end) override
    {
        ends.push_back(end);
        endPaths.push_back(end.request ? end.request->path : end.requestId);
        ends.back().request = nullptr;
    }

    /// Delays the responses.
    bool isHeld = false;
    /// Ends with an exception.
    bool fails = false;
    /// Ends without a response.
    bool leavesUnanswered = false;
    unsigned requests = 0;
    std::map<ConnectionEvent, unsigned> events;
    /// Reported ends, without their requests.
    std::vector<ConnectionEnd> ends;
    /// Path of each end's request; empty if its header was not read.
    std::vector<std::string> endPaths;
};

inline std::string requestOf(std::string_view path, std::size_t bodyBytes = 0)
{
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(bodyBytes)
        + "\r\n\r\n" + std::string(bodyBytes, 'b');
}

/// A server in a context that runs only when the test says so, as in a process that gets no processor time.
struct ServerFixture {
    static constexpr std::chrono::seconds conditionTimeout { 20 };

    explicit ServerFixture(HttpServerLimits limits = {})
        : server(context.get_executor(), handler, limits)
        , endpoint(*server.listen({ "127.0.0.1", 0 }))
    {
    }

    /// Runs what is ready.
    void poll()
    {
        context.restart();
        context.poll();
    }

    /// Runs the server until a condition holds.
    template <typename Condition> void runUntil(Condition condition)
    {
        const auto limit = std::chrono::steady_clock::now() + conditionTimeout;
        while (!condition()) {
            cr_assert(std::chrono::steady_clock::now() < limit, "the condition did not hold in time");
            context.restart();
            context.run_one_for(std::chrono::milliseconds(10));
        }
    }

    /// Sends a request and reads its response, after which the server waits for the next request.
    void exchange(RawClient& client, std::string_view path)
    {
        client.send(requestOf(path));
        runUntil([&] { return client.receive() && client.received().ends_with(std::string(path) + " 0"); });
        client.clear();
        poll();
    }

    /// Runs the server until it has sent a response or closed the connection.
    /// @return Status of the response; 0 for a connection that was closed without one.
    int responseStatus(RawClient& client)
    {
        bool isOpen = true;
        runUntil([&] { return !(isOpen = client.receive()) || client.received().contains("\r\n\r\n"); });
        const auto& bytes = client.received();
        return bytes.starts_with("HTTP/1.1 ") ? std::stoi(bytes.substr(9, 3)) : 0;
    }

    asio::io_context context { 1 };
    EchoHandler handler;
    HttpServer server;
    Endpoint endpoint;
};

} // namespace Pollenwind
