#include "Upstream/HttpUpstreamClient.h"

#include "Common/Invariant.h"
#include "Upstream/HttpCacheEventStream.h"
#include "Upstream/UpstreamCodec.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    constexpr std::size_t maxEventBytes = 1 << 20;

    constexpr BodyLimit answerLimit { MemoryUse::RunnerResponse, 8UL * 1024 * 1024 };
    // What follows the last event of a sound stream is shorter than an event.
    constexpr BodyLimit drainLimit { MemoryUse::RunnerResponse, maxEventBytes };

    // The caller is waiting, so a connection whose response does not end promptly is closed instead of reused.
    constexpr std::chrono::nanoseconds maxDrainTime { std::chrono::milliseconds(100) };

} // namespace

struct HttpUpstreamClient::Stream {
    Endpoint endpoint;
    GenerationCall call;
    std::unique_ptr<HttpConnection> connection;
    /// Bytes received after the last complete event.
    std::string buffer;
};

HttpUpstreamClient::HttpUpstreamClient(asio::any_io_executor executor, std::chrono::nanoseconds connectTimeout)
    : m_executor(std::move(executor))
    , m_connectTimeout(connectTimeout)
{
}

HttpUpstreamClient::~HttpUpstreamClient() = default;

void HttpUpstreamClient::dropIdleConnectionsOnTimeout(const Endpoint& endpoint, const Error& error)
{
    // The cause, e.g. a middlebox that dropped its connection state, may have affected the idle connections too.
    if (error.code == ErrorCode::DeadlineExceeded) {
        m_pool.drop(endpoint);
    }
}

StreamId HttpUpstreamClient::open(Endpoint endpoint, GenerationCall call)
{
    const StreamId id(m_nextStream++);
    const auto stream = std::make_shared<Stream>();
    stream->endpoint = std::move(endpoint);
    stream->call = std::move(call);
    m_streams.emplace(id, stream);
    return id;
}

Task<Outcome<void>> HttpUpstreamClient::begin(StreamId id, std::chrono::nanoseconds timeout)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        co_return fail(ErrorCode::Cancelled, "the stream is closed");
    }
    // Keeps the stream alive, because cancel() may run while this coroutine is suspended.
    const auto stream = it->second;
    const auto head = co_await sendGeneration(stream, timeout);
    if (!head) {
        dropIdleConnectionsOnTimeout(stream->endpoint, head.error());
        cancel(id);
        co_return std::unexpected(head.error());
    }
    if (head->status == 200) {
        co_return Outcome<void> {};
    }
    cancel(id);
    const auto answered = findHeader(head->headers, "X-Request-Id");
    if (answered && *answered != stream->call.request.value()) {
        co_return fail(ErrorCode::Mismatch, "the engine responded to another request", RunState::Unknown);
    }
    const bool isNotStarted = head->status == 503 && findHeader(head->headers, "X-Not-Started");
    co_return fail(isNotStarted ? ErrorCode::Unavailable : ErrorCode::ProtocolError,
        "the engine responded with status " + std::to_string(head->status),
        isNotStarted ? RunState::NotRun : RunState::Unknown);
}

Task<Outcome<HttpHead>> HttpUpstreamClient::sendGeneration(
    std::shared_ptr<Stream> stream, std::chrono::nanoseconds timeout)
{
    stream->connection = m_pool.take(stream->endpoint);
    if (!stream->connection) {
        stream->connection = std::make_unique<HttpConnection>(m_executor);
        const auto connected
            = co_await stream->connection->connect(stream->endpoint, std::min(timeout, m_connectTimeout));
        if (!connected) {
            co_return std::unexpected(connected.error());
        }
    }
    const auto request = UpstreamCodec::encodeGeneration(stream->call);
    checkInvariant(UpstreamCodec::carriesNoCredentials(request), "no caller's key is sent to an upstream");
    co_return co_await stream->connection->send(request, timeout);
}

Task<Outcome<GenerationEvent>> HttpUpstreamClient::next(StreamId id, std::chrono::nanoseconds timeout)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        co_return fail(ErrorCode::Cancelled, "the stream is closed", RunState::Unknown);
    }
    const auto stream = it->second;
    auto event = co_await readEvent(stream, timeout);
    if (!event) {
        dropIdleConnectionsOnTimeout(stream->endpoint, event.error());
        cancel(id);
        co_return event;
    }
    if (event->kind == GenerationEventKind::Finished) {
        m_streams.erase(id);
        // Reads "[DONE]" and the last chunk, so that the connection can be reused.
        const auto drained = co_await stream->connection->readAll(drainLimit, std::min(timeout, maxDrainTime));
        if (drained) {
            m_pool.release(stream->endpoint, std::move(stream->connection));
        }
    }
    co_return event;
}

Task<Outcome<GenerationEvent>> HttpUpstreamClient::readEvent(
    std::shared_ptr<Stream> stream, std::chrono::nanoseconds timeout)
{
    const auto limit = std::chrono::steady_clock::now() + timeout;
    for (;;) {
        const auto end = stream->buffer.find("\n\n");
        if (end != std::string::npos) {
            const std::string block = stream->buffer.substr(0, end);
            stream->buffer.erase(0, end + 2);
            if (block.starts_with("data: ")) {
                co_return UpstreamCodec::decodeEvent(std::string_view(block).substr(6), stream->call);
            }
            continue;
        }
        // Comments and parts of an event do not extend the time limit.
        auto part = co_await stream->connection->readSome(limit - std::chrono::steady_clock::now());
        if (!part) {
            co_return std::unexpected(part.error());
        }
        if (part->empty()) {
            co_return fail(ErrorCode::ConnectionLost, "the engine closed the stream before its end", RunState::Unknown);
        }
        if (stream->buffer.size() + part->size() > maxEventBytes) {
            co_return fail(ErrorCode::ProtocolError, "the engine sent an event over the size limit", RunState::Unknown);
        }
        stream->buffer += *part;
    }
}

void HttpUpstreamClient::cancel(StreamId id)
{
    const auto it = m_streams.find(id);
    if (it != m_streams.end()) {
        if (it->second->connection) {
            it->second->connection->close();
        }
        m_streams.erase(it);
    }
}

Task<Outcome<PlainAnswer>> HttpUpstreamClient::run(Endpoint endpoint, PlainCall call, std::chrono::nanoseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    auto connection = call.needsFreshConnection ? nullptr : m_pool.take(endpoint);
    if (!connection) {
        connection = std::make_unique<HttpConnection>(m_executor);
        const auto connected = co_await connection->connect(endpoint, std::min(timeout, m_connectTimeout));
        if (!connected) {
            co_return std::unexpected(connected.error());
        }
    }
    const auto request = UpstreamCodec::encodePlain(call);
    checkInvariant(UpstreamCodec::carriesNoCredentials(request), "no caller's key is sent to an upstream");
    const auto head = co_await connection->send(request, end - std::chrono::steady_clock::now());
    if (!head) {
        dropIdleConnectionsOnTimeout(endpoint, head.error());
        co_return std::unexpected(head.error());
    }
    // Checked first, because the status may be that of another request.
    if (findHeader(head->headers, "X-Request-Id") != std::string_view(call.request.value())) {
        connection->close();
        co_return fail(ErrorCode::Mismatch, "the upstream responded to another request", RunState::Unknown);
    }
    if (head->status == 503 && findHeader(head->headers, "X-Not-Started")) {
        co_return fail(ErrorCode::Unavailable, "the upstream did not start the call");
    }
    auto body = co_await connection->readAll(answerLimit, end - std::chrono::steady_clock::now());
    if (!body) {
        dropIdleConnectionsOnTimeout(endpoint, body.error());
        co_return std::unexpected(body.error());
    }
    PlainAnswer answer;
    answer.status = head->status;
    answer.contentType = findHeader(head->headers, "Content-Type").value_or("application/octet-stream");
    answer.body = std::move(*body);
    m_pool.release(endpoint, std::move(connection));
    co_return answer;
}

Task<Outcome<HealthReport>> HttpUpstreamClient::health(Endpoint endpoint, std::chrono::nanoseconds timeout)
{
    HttpRequest request;
    request.method = "GET";
    request.path = "/health";
    const auto answer = co_await fetch(endpoint, std::move(request), timeout);
    if (!answer) {
        co_return std::unexpected(answer.error());
    }
    co_return UpstreamCodec::decodeHealth(answer->body);
}

Task<Outcome<std::unique_ptr<CacheEventStream>>> HttpUpstreamClient::openCacheEvents(
    Endpoint endpoint, std::uint64_t from, std::chrono::nanoseconds timeout)
{
    auto connection = std::make_unique<HttpConnection>(m_executor);
    const auto connected = co_await connection->connect(endpoint, m_connectTimeout);
    if (!connected) {
        co_return std::unexpected(connected.error());
    }
    HttpRequest request;
    request.method = "GET";
    request.path = "/cache-events";
    request.query = "from=" + std::to_string(from);
    const auto head = co_await connection->send(request, timeout);
    if (!head) {
        co_return std::unexpected(head.error());
    }
    if (head->status != 200) {
        co_return fail(ErrorCode::ProtocolError, "the engine responded with status " + std::to_string(head->status));
    }
    co_return std::make_unique<HttpCacheEventStream>(std::move(connection));
}

} // namespace Pollenwind
