#include "Common/Sleep.h"
#include "Transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <string>
#include <vector>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

using tcp = asio::ip::tcp;

constexpr std::chrono::seconds callTimeout { 10 };

// Long enough for two reads with a time limit to end in each pause.
constexpr std::chrono::milliseconds partPause { 300 };
constexpr std::chrono::milliseconds readLimit { 50 };

/// Server that responds to the first request of each connection with the same bytes and closes the connection.
class RawServer {
public:
    RawServer(asio::io_context& context, std::string response)
        : RawServer(context, std::vector { std::move(response) })
    {
    }

    /// @param parts Bytes that are sent with pauses between them.
    RawServer(asio::io_context& context, std::vector<std::string> parts)
        : m_acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_parts(std::move(parts))
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

private:
    Task<> serve()
    {
        for (;;) {
            auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
            if (ec) {
                co_return;
            }
            std::string request;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
            for (std::size_t n = 0; n < m_parts.size(); ++n) {
                if (n > 0) {
                    co_await sleepFor(partPause);
                }
                co_await asio::async_write(socket, asio::buffer(m_parts[n]), asTuple);
            }
        }
    }

    tcp::acceptor m_acceptor;
    std::vector<std::string> m_parts;
};

/// Result of a GET request to a server that sends the response and closes the connection.
/// @param call Makes the request: fetch() or another operation with its parameters.
template <typename Call = decltype(&fetch)> Outcome<HttpAnswer> fetchResponse(std::string response, Call call = fetch)
{
    asio::io_context context { 1 };
    RawServer server(context, std::move(response));
    std::optional<Outcome<HttpAnswer>> result;
    asio::co_spawn(context, call(server.endpoint(), { "GET", "/", "", {}, "" }, callTimeout, operatorBodyLimit),
        [&](const std::exception_ptr& error, Outcome<HttpAnswer> answer) {
            cr_assert(!error, "an exception left the client");
            result = std::move(answer);
            context.stop();
        });
    context.run();
    return std::move(*result);
}

/// Reads a response part by part, as one that may be of any length.
Task<Outcome<HttpAnswer>> fetchInParts(
    Endpoint endpoint, HttpRequest request, std::chrono::nanoseconds timeout, BodyLimit)
{
    HttpConnection connection(co_await asio::this_coro::executor);
    cr_assert((co_await connection.connect(endpoint, timeout)).has_value());
    const auto head = co_await connection.send(request, timeout);
    if (!head) {
        co_return std::unexpected(head.error());
    }
    HttpAnswer answer { head->status, "", "", head->headers };
    for (;;) {
        const auto part = co_await connection.readSome(timeout);
        if (!part) {
            co_return std::unexpected(part.error());
        }
        if (part->empty()) {
            co_return answer;
        }
        answer.body += *part;
    }
}

} // namespace

// Guards against reserving the length that a response announces: no memory holds it, and the failure ended the process.
Test(HttpConnection, takesMemoryOnlyForBytesThatHaveArrived)
{
    const std::vector<std::string> lengths { "4611686018427387904", "9223372036854775000", "137438953472" };
    for (const auto& length : lengths) {
        const auto response = "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n" + std::string(400, 'x');
        const auto answer = fetchResponse(response, fetchInParts);
        cr_assert(!answer, "%s", length.c_str());
        cr_assert(answer.error().code == ErrorCode::ConnectionLost && answer.error().runState == RunState::Unknown,
            "%s: %s", length.c_str(), answer.error().message.c_str());
        // A call that collects the body does not read what it could not keep.
        const auto collected = fetchResponse(response);
        cr_assert(!collected, "%s", length.c_str());
        cr_assert(collected.error().code == ErrorCode::ProtocolError && collected.error().runState == RunState::Unknown,
            "%s: %s", length.c_str(), collected.error().message.c_str());
    }
}

// Guards against a change in what counts as a complete response when its bytes are parsed.
Test(HttpConnection, judgesAResponseByItsFraming)
{
    struct Case {
        const char* response;
        const char* body;
    };
    const std::vector<Case> complete {
        { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc" },
        { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "" },
        { "HTTP/1.1 204 No Content\r\n\r\n", "" },
        { "HTTP/1.1 200 OK\r\n\r\nto the end", "to the end" },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "abcde" },
        { "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a" },
    };
    for (const auto& it : complete) {
        const auto answer = fetchResponse(it.response);
        cr_assert(answer && answer->body == it.body, "%s", it.response);
    }
    for (const auto* response : { "", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "no response\r\n\r\n" }) {
        cr_assert(!fetchResponse(response), "%s", response);
    }
}

// Guards against an exception of the library for a request that it cannot send.
Test(HttpConnection, rejectsATraceRequestWithABody)
{
    asio::io_context context { 1 };
    RawServer server(context, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    std::optional<Outcome<HttpAnswer>> result;
    asio::co_spawn(context, fetch(server.endpoint(), { "TRACE", "/", "", {}, "body" }, callTimeout),
        [&](const std::exception_ptr& error, Outcome<HttpAnswer> answer) {
            cr_assert(!error, "an exception left the client");
            result = std::move(answer);
            context.stop();
        });
    context.run();
    cr_assert(!*result && result->error().code == ErrorCode::Malformed);
    cr_assert(result->error().runState == RunState::NotRun);
}

// Guards against losing a response, or a part of it, when a read is tried again after its time limit.
Test(HttpConnection, readsOnAfterATimeLimit)
{
    asio::io_context context { 1 };
    RawServer server(context,
        std::vector<std::string> { "HTTP/1.1 200 OK\r\nX-Na", "me: value\r\nTransfer-Encoding: chunked\r\n\r\n",
            "6\r\nabc", "def\r\n0\r\n\r\n" });
    const auto read = [&]() -> Task<> {
        HttpConnection connection(context.get_executor());
        cr_assert((co_await connection.connect(server.endpoint(), callTimeout)).has_value());
        unsigned timeouts = 0;
        auto head = co_await connection.send({ "GET", "/", "", {}, "" }, readLimit);
        for (; !head; ++timeouts) {
            cr_assert(head.error().code == ErrorCode::DeadlineExceeded, "%s", head.error().message.c_str());
            head = co_await connection.readHead(readLimit);
        }
        cr_assert(findHeader(head->headers, "X-Name") == "value");
        std::string body;
        for (;;) {
            const auto part = co_await connection.readSome(readLimit);
            if (!part) {
                cr_assert(part.error().code == ErrorCode::DeadlineExceeded, "%s", part.error().message.c_str());
                ++timeouts;
                continue;
            }
            if (part->empty()) {
                break;
            }
            body += *part;
        }
        cr_assert_eq(body, "abcdef");
        cr_assert_geq(timeouts, 3);
    };
    asio::co_spawn(context, read(), [&](const std::exception_ptr& error) {
        cr_assert(!error);
        context.stop();
    });
    context.run();
}

// Guards against keeping the body of a response that is not wanted: a runner could make the process collect 16 MB for
// each request, outside of the budget for responses.
Test(HttpConnection, skipsABodyAndReadsTheNextResponse)
{
    asio::io_context context { 1 };
    RawServer server(context,
        "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x') + "HTTP/1.1 201 Created\r\n\r\n"
            + std::string(HttpConnection::maxSkippedBytes + 1, 'y'));
    const auto read = [&]() -> Task<> {
        HttpConnection connection(context.get_executor());
        cr_assert((co_await connection.connect(server.endpoint(), callTimeout)).has_value());
        cr_assert((co_await connection.send({ "GET", "/", "", {}, "" }, callTimeout)).has_value());
        cr_assert((co_await connection.skipBody(callTimeout)).has_value());
        const auto next = co_await connection.readHead(callTimeout);
        cr_assert(next && next->status == 201);
        const auto skipped = co_await connection.skipBody(callTimeout);
        cr_assert(!skipped && skipped.error().code == ErrorCode::ProtocolError);
        cr_assert(!connection.isReusable());
    };
    asio::co_spawn(context, read(), [&](const std::exception_ptr& error) {
        cr_assert(!error);
        context.stop();
    });
    context.run();
}

// Guards against taking a server that does not read for a while for one that closed the connection: the write that it
// blocked was given up with the connection, although the server went on and would have responded.
Test(HttpConnection, writesOnAfterATimeLimit)
{
    // More than the kernel takes for a server that does not read.
    std::string body(16UL * 1024 * 1024, ' ');
    for (std::size_t n = 0; n < body.size(); ++n) {
        body[n] = static_cast<char>(n % 251);
    }
    constexpr int receiveBytes = 16 * 1024;
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBytes));
    acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
    acceptor.listen();
    asio::steady_timer silence(context, std::chrono::steady_clock::time_point::max());
    std::string received;
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            auto [ec, socket] = co_await acceptor.async_accept(asTuple);
            co_await silence.async_wait(asTuple);
            const auto end = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::use_awaitable);
            received.erase(0, end);
            const auto begun = received.size();
            received.resize(body.size());
            co_await asio::async_read(
                socket, asio::buffer(received.data() + begun, received.size() - begun), asio::use_awaitable);
            co_await asio::async_write(
                socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")), asio::use_awaitable);
            // Keeps the connection open.
            silence.expires_at(std::chrono::steady_clock::time_point::max());
            co_await silence.async_wait(asTuple);
        },
        asio::detached);
    bool isDone = false;
    asio::co_spawn(
        context,
        [&]() -> Task<> {
            HttpConnection connection(context.get_executor());
            const Endpoint server { "127.0.0.1", acceptor.local_endpoint().port() };
            cr_assert((co_await connection.connect(server, callTimeout)).has_value());
            const HttpRequest request { "POST", "/x", "", {}, body };
            auto head = co_await connection.send(request, readLimit);
            for (unsigned n = 0; n < 3; ++n) {
                cr_assert(!head && head.error().code == ErrorCode::DeadlineExceeded, "attempt %u", n);
                head = co_await connection.readHead(readLimit);
            }
            silence.cancel();
            head = co_await connection.readHead(callTimeout);
            cr_assert(head && head->status == 200, "%s", head ? "" : head.error().message.c_str());
            cr_assert(received == body, "the body was changed");
            cr_assert(connection.isReusable());
            silence.cancel();
            isDone = true;
        },
        [](const std::exception_ptr& error) { cr_assert(!error); });
    context.run();
    cr_assert(isDone);
}

// Guards against taking the end of a connection that was reset while the request was written for the end of the body:
// the failed write takes the error of the connection, and the read after it finds only its end. It holds for every call
// of the process: those to the store, to other VMs and to runners.
Test(HttpConnection, takesNoResetDuringTheRequestForTheEndOfABody)
{
    struct Case {
        const char* response;
        bool isComplete;
    };
    const std::vector<Case> cases {
        { "HTTP/1.1 200 OK\r\n\r\npart", false },
        { "HTTP/1.0 200 OK\r\n\r\npart", false },
        { "HTTP/1.1 200 OK\r\n\r\n", false },
        { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false },
        { "HTTP/1.1 413 Payload Too Large\r\nContent-Length: 3\r\n\r\nwhy", true },
        { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nwhy\r\n0\r\n\r\n", true },
        { "HTTP/1.1 204 No Content\r\n\r\n", true },
    };
    for (const auto& it : cases) {
        asio::io_context context { 1 };
        tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                auto [ec, socket] = co_await acceptor.async_accept(asTuple);
                std::string request;
                co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", asTuple);
                co_await asio::async_write(socket, asio::buffer(std::string(it.response)), asTuple);
                co_await sleepFor(readLimit);
                // The rest of the request was not read, so the connection is reset.
                socket.close();
            },
            asio::detached);
        bool isDone = false;
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                HttpConnection connection(context.get_executor());
                const Endpoint server { "127.0.0.1", acceptor.local_endpoint().port() };
                cr_assert((co_await connection.connect(server, callTimeout)).has_value());
                // More than the kernel takes for a server that does not read.
                const HttpRequest request { "POST", "/x", "", {}, std::string(16UL * 1024 * 1024, 'u') };
                const auto head = co_await connection.send(request, callTimeout);
                cr_assert(head.has_value(), "%s: %s", it.response, head ? "" : head.error().message.c_str());
                const auto body = co_await connection.readAll(callTimeout);
                cr_assert_eq(body.has_value(), it.isComplete, "%s", it.response);
                cr_assert(body || body.error().code == ErrorCode::ConnectionLost, "%s", it.response);
                cr_assert(body || body.error().runState == RunState::Unknown, "%s", it.response);
                cr_assert(!connection.isReusable(), "%s", it.response);
                isDone = true;
            },
            [](const std::exception_ptr& error) { cr_assert(!error); });
        context.run();
        cr_assert(isDone);
    }
}

// Guards against a status that is none, in any call of the process: a call to the store with such a response would be
// taken for one that changed nothing.
Test(HttpConnection, rejectsAResponseWithAnInvalidStatus)
{
    for (const auto* status : { "000", "001", "099", "600", "700", "999" }) {
        const auto answer = fetchResponse("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 3\r\n\r\nodd");
        cr_assert(!answer, "%s", status);
        cr_assert(answer.error().code == ErrorCode::ProtocolError, "%s: %s", status, answer.error().message.c_str());
        cr_assert(answer.error().runState == RunState::Unknown, "%s", status);
    }
    for (const auto* status : { "200", "299", "404", "500", "599" }) {
        cr_assert(
            fetchResponse("HTTP/1.1 " + std::string(status) + " Known\r\nContent-Length: 3\r\n\r\nyes"), "%s", status);
    }
}
