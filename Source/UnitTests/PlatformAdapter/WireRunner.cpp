#include "PlatformAdapter/WireRunner.h"

#include "Common/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace Pollenwind {

namespace http = boost::beast::http;

namespace {

    // Longer than the gateway needs for the response, so that the extra bytes arrive on an idle connection.
    constexpr std::chrono::milliseconds extraDelay { 50 };
    // The gateway reads the bytes before it sees the reset of the connection, which would discard them.
    constexpr std::chrono::milliseconds resetDelay { 20 };
    // Limit of the front end for the body of a request.
    constexpr std::uint64_t maxRequestBytes = 8UL * 1024 * 1024;

} // namespace

WireRunner::WireRunner(asio::io_context& context)
    : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
    , endpoint { "127.0.0.1", m_acceptor.local_endpoint().port() }
{
    asio::co_spawn(context, accept(), asio::detached);
}

Task<> WireRunner::accept()
{
    for (unsigned connection = 1;; ++connection) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec) {
            co_return;
        }
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), connection), asio::detached);
    }
}

Task<> WireRunner::serve(tcp::socket socket, unsigned connection)
{
    boost::beast::flat_buffer buf;
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxRequestBytes);
        const auto [headError, headBytes] = co_await http::async_read_header(socket, buf, parser, asTuple);
        if (headError || script.empty()) {
            co_return;
        }
        if (!script.front().isBeforeBody) {
            const auto [bodyError, bodyBytes] = co_await http::async_read(socket, buf, parser, asTuple);
            if (bodyError || script.empty()) {
                co_return;
            }
        }
        const std::string id(parser.get()["X-Request-Id"]);
        arrivals.push_back({ id, connection });
        const auto reply = std::move(script.front());
        script.pop_front();
        auto bytes = reply.bytes;
        for (auto place = bytes.find("{id}"); place != std::string::npos; place = bytes.find("{id}")) {
            bytes.replace(place, 4, id);
        }
        bytes.resize(std::min(bytes.size(), reply.cutAfter));
        co_await asio::async_write(socket, asio::buffer(bytes), asTuple);
        if (!reply.extraBytes.empty()) {
            co_await sleepFor(extraDelay);
            co_await asio::async_write(socket, asio::buffer(reply.extraBytes), asTuple);
            ++extras;
        }
        while (!reply.endless.empty()) {
            const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(reply.endless), asTuple);
            endlessBytes += written;
            if (writeError) {
                ++endlessEnds;
                co_return;
            }
            if (reply.endlessInterval.count() > 0) {
                co_await sleepFor(reply.endlessInterval);
            }
        }
        if (reply.end != WireEnd::Keep) {
            if (reply.end == WireEnd::Reset) {
                co_await sleepFor(resetDelay);
            }
            socket.set_option(asio::socket_base::linger(reply.end == WireEnd::Reset, 0));
            // The destructor would not reset the connection.
            socket.close();
            co_return;
        }
    }
}

Task<CallerView> callOverSocket(Endpoint endpoint, std::string path, std::string id, std::string body)
{
    asio::ip::tcp::socket socket(co_await asio::this_coro::executor);
    co_await socket.async_connect({ asio::ip::make_address(endpoint.address), endpoint.port }, asTuple);
    const auto request = "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
        + "\r\nAuthorization: Token key-of-org\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
    co_await asio::async_write(socket, asio::buffer(request), asTuple);
    CallerView view;
    co_await asio::async_read(socket, asio::dynamic_buffer(view.bytes), asTuple);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    boost::beast::error_code ec;
    std::size_t n = 0;
    while (!ec && !parser.is_done() && n < view.bytes.size()) {
        n += parser.put(asio::buffer(view.bytes.data() + n, view.bytes.size() - n), ec);
    }
    view.isComplete = !ec && parser.is_done() && n == view.bytes.size();
    if (parser.is_header_done()) {
        view.status = static_cast<int>(parser.get().result_int());
        view.body = parser.get().body();
    }
    co_return view;
}

} // namespace Pollenwind
