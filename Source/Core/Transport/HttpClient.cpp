#include "Transport/HttpClient.h"

#include "Transport/BufferCapacity.h"
#include "Transport/ReceivedBody.h"
#include "Transport/SocketOptions.h"
#include "Transport/TimedRead.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <limits>
#include <optional>
#include <string_view>

namespace Pollenwind {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds deadConnectionTimeout { 10'000 };
    constexpr std::uint32_t maxAnswerHeaderBytes = 64 * 1024;
    // Bytes that are received and not parsed yet. Larger than a header, and a bound for the line that begins a chunk,
    // which a peer in trouble may never end.
    constexpr std::size_t maxUnparsedBytes = 128UL * 1024;
    constexpr std::size_t maxReadBytes = 64UL * 1024;

    // Informational responses before one response. A server in trouble may send them without end.
    constexpr unsigned maxInformational = 16;
    constexpr int switchingProtocols = 101;

    // Other numbers name no class of responses. The library accepts any three digits.
    constexpr int lowestStatus = 100;
    constexpr int highestStatus = 599;

    // Lines that wait for the end of a trailer. Sound responses have no trailer; a server in trouble may send fields
    // without end, and slowly.
    constexpr std::ptrdiff_t maxTrailerLines = 16;

    bool isInformational(int status) { return status >= 100 && status < 200; }

    /// Parses the timeout of a Keep-Alive header such as "timeout=5, max=100".
    std::optional<std::chrono::milliseconds> parseIdleTimeout(std::string_view header)
    {
        constexpr std::string_view name = "timeout=";
        const auto at = header.find(name);
        int seconds = 0;
        if (at == std::string_view::npos) {
            return std::nullopt;
        }
        const auto digits = header.substr(at + name.size());
        const auto result = std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
        return result.ec == std::errc() ? std::optional(std::chrono::milliseconds(seconds * 1000)) : std::nullopt;
    }

    Error transportError(std::string_view what, const beast::error_code& ec)
    {
        auto code = ErrorCode::ConnectionLost;
        if (ec == beast::error::timeout) {
            code = ErrorCode::DeadlineExceeded;
        } else if (ec == boost::system::errc::not_enough_memory) {
            code = ErrorCode::Overloaded;
        }
        return Error { code, std::string(what) + ": " + ec.message(), RunState::Unknown };
    }

    /// Whether a connect failed for lack of a resource of this process or this VM, which tells nothing about the
    /// server.
    bool isLocalShortage(const beast::error_code& ec)
    {
        using namespace boost::system::errc;
        // Without a free local port, connecting fails with address_not_available.
        constexpr std::array shortages { too_many_files_open, too_many_files_open_in_system, no_buffer_space,
            not_enough_memory, address_not_available };
        return std::ranges::any_of(shortages, [&](errc_t it) { return ec == it; });
    }

} // namespace

struct HttpConnection::State {
    /// A request and how far it was written.
    struct OutgoingRequest {
        using Message = http::request<http::span_body<const char>>;

        Message message;
        http::serializer<true, Message::body_type> serializer { message };
    };

    explicit State(asio::any_io_executor executor)
        : stream(std::move(executor))
    {
    }

    /// Parses received bytes, after reading some if there are none or too few.
    /// @param until Longest time to wait for bytes; beast::error::timeout after it. It may then be called again.
    Task<beast::error_code> parseSome(std::chrono::steady_clock::time_point until);

    /// Opens the socket at the local address. If that fails, the system chooses one.
    void bindLocalAddress();

    /// Prepares the parser for the next response.
    void beginResponse();

    /// Writes what is left of the request.
    /// @param until Longest time to wait; beast::error::timeout after it. It may then be called again.
    Task<beast::error_code> writeRequest(std::chrono::steady_clock::time_point until);

    beast::tcp_stream stream;
    beast::flat_buffer buf { maxUnparsedBytes };
    /// Memory of the buffer.
    MemoryBudget::Share held { processMemory(), MemoryUse::UnparsedResponse };
    /// Request that the server has not taken completely, else null.
    std::unique_ptr<OutgoingRequest> outgoing;
    /// Why a request was not written completely.
    beast::error_code writeError;
    std::optional<http::response_parser<detail::ReceivedBody>> parser;
    std::string host;
    std::string localAddress;
    /// The response to a HEAD request has no body, whatever length it names.
    bool isHeadRequest = false;
    /// A part of a head may have been parsed.
    bool isHeadPending = false;
    /// True while a response is outstanding or incomplete, and after an error.
    bool isBroken = false;
    std::optional<std::chrono::milliseconds> idleTimeout;
};

// Parses in the calling task and not in the handler of a Beast operation: an exception that leaves a handler passes
// through the io_context.
Task<beast::error_code> HttpConnection::State::parseSome(std::chrono::steady_clock::time_point until)
{
    for (;;) {
        beast::error_code ec;
        if (buf.size() > 0) {
            buf.consume(parser->put(buf.data(), ec));
            if (ec != http::error::need_more) {
                co_return ec;
            }
            ec = {};
            // Of a body only a trailer is parsed in more than one line.
            const std::string_view waiting(static_cast<const char*>(buf.data().data()), buf.size());
            if (parser->is_header_done() && std::ranges::count(waiting, '\n') > maxTrailerLines) {
                co_return http::error::bad_chunk;
            }
        }
        const auto space = beast::read_size(buf, maxReadBytes);
        if (space == 0) {
            co_return http::error::buffer_overflow;
        }
        if (!held.resize(detail::preparedCapacity(buf, space))) {
            co_return make_error_code(boost::system::errc::not_enough_memory);
        }
        const auto read = co_await detail::readUntil(stream.socket(), buf.prepare(space), until);
        buf.commit(read.bytes);
        if (read.error == asio::error::eof) {
            if (!parser->got_some()) {
                co_return http::error::end_of_stream;
            }
            if (writeError && parser->is_header_done()) {
                // The failed write took the error of the connection, so a reset looks like an end. It does not end a
                // body without a length, and others would have ended before.
                co_return writeError;
            }
            parser->put_eof(ec);
            co_return ec;
        }
        if (read.error) {
            co_return read.error;
        }
    }
}

Task<beast::error_code> HttpConnection::State::writeRequest(std::chrono::steady_clock::time_point until)
{
    auto& socket = stream.socket();
    beast::error_code ec;
    while (!ec && !outgoing->serializer.is_done()) {
        if (std::chrono::steady_clock::now() >= until) {
            co_return beast::error::timeout;
        }
        // A timer for each operation: a cancellation between two of them has no effect.
        const detail::SocketTimer timer(socket, until);
        std::tie(ec, std::ignore) = co_await http::async_write_some(socket, outgoing->serializer, asTuple);
        if (ec == asio::error::operation_aborted && timer.isExpired() && socket.is_open()) {
            co_return beast::error::timeout;
        }
    }
    outgoing.reset();
    writeError = ec;
    co_return ec;
}

void HttpConnection::State::bindLocalAddress()
{
    beast::error_code ec;
    const tcp::endpoint local(asio::ip::make_address(localAddress, ec), 0);
    auto& socket = stream.socket();
    if (!ec) {
        socket.open(local.protocol(), ec);
    }
    if (!ec) {
        socket.bind(local, ec);
    }
    if (ec) {
        socket.close(ec);
    }
}

void HttpConnection::State::beginResponse()
{
    parser.emplace();
    parser->header_limit(maxAnswerHeaderBytes);
    parser->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser->skip(isHeadRequest);
}

HttpConnection::HttpConnection(asio::any_io_executor executor)
    : m_state(std::make_unique<State>(std::move(executor)))
{
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::setLocalAddress(std::string address) { m_state->localAddress = std::move(address); }

Task<Outcome<void>> HttpConnection::connect(const Endpoint& endpoint, std::chrono::nanoseconds timeout)
{
    beast::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    if (ec) {
        co_return fail(ErrorCode::ConnectFailed, "bad address " + endpoint.address);
    }
    auto& stream = m_state->stream;
    if (!m_state->localAddress.empty()) {
        m_state->bindLocalAddress();
    }
    stream.expires_after(timeout);
    std::tie(ec) = co_await stream.async_connect(tcp::endpoint(address, endpoint.port), asTuple);
    if (ec) {
        m_state->isBroken = true;
        const auto code = isLocalShortage(ec) ? ErrorCode::Overloaded : ErrorCode::ConnectFailed;
        co_return fail(code, "connect to " + endpoint.toString() + ": " + ec.message());
    }
    setLowLatencyOptions(stream.socket().native_handle(), deadConnectionTimeout);
    // Applies to operations without a handler; others never block.
    stream.socket().non_blocking(true, ec);
    m_state->host = endpoint.toString();
    co_return Outcome<void> {};
}

Task<Outcome<HttpHead>> HttpConnection::send(const HttpRequest& request, std::chrono::nanoseconds timeout)
{
    return send(request, request.body, timeout);
}

Task<Outcome<HttpHead>> HttpConnection::send(
    const HttpRequest& request, std::string_view body, std::chrono::nanoseconds timeout)
{
    auto& state = *m_state;
    if (request.method == "TRACE" && !body.empty()) {
        // The library would throw an exception.
        co_return fail(ErrorCode::Malformed, "a TRACE request must not have a body");
    }
    state.outgoing = std::make_unique<State::OutgoingRequest>();
    auto& message = state.outgoing->message;
    message.method_string(request.method);
    message.target(request.target());
    message.version(11);
    for (const auto& [name, value] : request.headers) {
        message.insert(name, value);
    }
    if (message.find(http::field::host) == message.end()) {
        message.set(http::field::host, state.host);
    }
    message.body() = { body.data(), body.size() };
    message.prepare_payload();

    state.isHeadRequest = message.method() == http::verb::head;
    co_return co_await readHead(timeout);
}

Task<Outcome<HttpHead>> HttpConnection::readHead(std::chrono::nanoseconds timeout)
{
    auto& state = *m_state;
    // Until the response has been read to its end.
    state.isBroken = true;
    const auto until = std::chrono::steady_clock::now() + timeout;
    if (state.outgoing && co_await state.writeRequest(until) == beast::error::timeout) {
        co_return std::unexpected(transportError("send request", beast::error::timeout));
    }
    // A server may reject a long request before it has read all of it and then close the connection, so a response can
    // follow a failed write.
    auto head = co_await readResponseHead(until);
    if (state.writeError && !head && head.error().code != ErrorCode::ProtocolError) {
        co_return std::unexpected(transportError("send request", state.writeError));
    }
    co_return head;
}

Task<Outcome<HttpHead>> HttpConnection::readResponseHead(std::chrono::steady_clock::time_point until)
{
    auto& state = *m_state;
    HttpHead head;
    for (unsigned informational = 0;; ++informational) {
        if (!std::exchange(state.isHeadPending, true)) {
            state.beginResponse();
        }
        while (!state.parser->is_header_done()) {
            if (const auto ec = co_await state.parseSome(until)) {
                co_return std::unexpected(transportError("read response head", ec));
            }
        }
        state.isHeadPending = false;
        head.status = static_cast<int>(state.parser->get().result_int());
        if (head.status < lowestStatus || head.status > highestStatus) {
            co_return fail(ErrorCode::ProtocolError, "read response head: status " + std::to_string(head.status),
                RunState::Unknown);
        }
        if (!isInformational(head.status)) {
            break;
        }
        // The final response follows it. A change of the protocol was not asked for.
        if (head.status == switchingProtocols || informational == maxInformational) {
            co_return fail(ErrorCode::ProtocolError,
                "read response head: informational response " + std::to_string(head.status), RunState::Unknown);
        }
    }
    for (const auto& field : state.parser->get()) {
        head.headers.emplace_back(field.name_string(), field.value());
    }
    state.idleTimeout = parseIdleTimeout(findHeader(head.headers, "Keep-Alive").value_or(""));
    if (state.parser->is_done()) {
        state.isBroken = state.writeError || !state.parser->get().keep_alive();
    }
    co_return head;
}

bool HttpConnection::isRequestSent() const { return !m_state->outgoing; }

Task<Outcome<std::string>> HttpConnection::readSome(std::chrono::nanoseconds timeout)
{
    auto& state = *m_state;
    auto& body = state.parser->get().body();
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (body.empty() && !state.parser->is_done()) {
        if (const auto ec = co_await state.parseSome(until)) {
            state.isBroken = true;
            co_return std::unexpected(transportError("read response", ec));
        }
    }
    if (state.parser->is_done()) {
        state.isBroken = state.writeError || !state.parser->get().keep_alive();
    }
    std::string part;
    part.swap(body);
    co_return part;
}

Task<Outcome<std::string>> HttpConnection::readAll(BodyLimit limit, std::chrono::nanoseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    const auto failAndClose = [this](ErrorCode code, std::string_view why) {
        close();
        return fail(code, "read response: " + std::string(why), RunState::Unknown);
    };
    const auto& parser = *m_state->parser;
    if (!parser.is_done() && parser.content_length().value_or(0) > limit.bytes) {
        co_return failAndClose(ErrorCode::ProtocolError, "the announced body is too large");
    }
    std::string body;
    MemoryBudget::Share held(processMemory(), limit.use);
    for (;;) {
        auto part = co_await readSome(end - std::chrono::steady_clock::now());
        if (!part) {
            co_return part;
        }
        if (part->empty()) {
            co_return body;
        }
        if (body.size() + part->size() > limit.bytes) {
            co_return failAndClose(ErrorCode::ProtocolError, "the body is too large");
        }
        if (!appendWithin(body, *part, held)) {
            co_return failAndClose(ErrorCode::Overloaded, "there is no memory for the body");
        }
    }
}

Task<Outcome<std::string>> HttpConnection::readAll(std::chrono::nanoseconds timeout)
{
    return readAll(operatorBodyLimit, timeout);
}

Task<Outcome<void>> HttpConnection::skipBody(std::chrono::nanoseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    for (std::size_t bytes = 0;;) {
        const auto part = co_await readSome(end - std::chrono::steady_clock::now());
        if (!part) {
            co_return std::unexpected(part.error());
        }
        if (part->empty()) {
            co_return Outcome<void> {};
        }
        bytes += part->size();
        if (bytes > maxSkippedBytes) {
            close();
            co_return fail(ErrorCode::ProtocolError, "skip response: the body is too large", RunState::Unknown);
        }
    }
}

bool HttpConnection::isReusable() const
{
    return !m_state->isBroken && m_state->buf.size() == 0 && m_state->stream.socket().is_open()
        && isOpenAndDrained(const_cast<tcp::socket&>(m_state->stream.socket()).native_handle());
}

std::optional<std::chrono::milliseconds> HttpConnection::announcedIdleTimeout() const { return m_state->idleTimeout; }

void HttpConnection::close()
{
    m_state->isBroken = true;
    m_state->stream.close();
}

Task<Outcome<HttpAnswer>> fetch(
    Endpoint endpoint, HttpRequest request, std::chrono::nanoseconds timeout, BodyLimit limit)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    HttpConnection connection(co_await asio::this_coro::executor);
    const auto connected = co_await connection.connect(endpoint, timeout);
    if (!connected) {
        co_return std::unexpected(connected.error());
    }
    auto head = co_await connection.send(request, end - std::chrono::steady_clock::now());
    if (!head) {
        co_return std::unexpected(head.error());
    }
    auto body = co_await connection.readAll(limit, end - std::chrono::steady_clock::now());
    if (!body) {
        co_return std::unexpected(body.error());
    }
    HttpAnswer answer;
    answer.status = head->status;
    answer.contentType = findHeader(head->headers, "Content-Type").value_or("");
    answer.body = std::move(*body);
    answer.headers = std::move(head->headers);
    co_return answer;
}

} // namespace Pollenwind
