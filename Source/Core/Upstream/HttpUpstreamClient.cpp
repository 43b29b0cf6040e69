#include "Upstream/HttpUpstreamClient.h"

#include "Upstream/UpstreamCodec.h"

namespace Pollenwind {

namespace {

    constexpr std::size_t maxIdlePerUpstream = 32;

    // Middleboxes forget quiet connections without a word; a short idle time makes a dead one unlikely to be reused.
    constexpr std::chrono::seconds maxIdleTime { 10 };

    constexpr std::size_t maxEventBytes = 1 << 20;

} // namespace

struct HttpUpstreamClient::Stream {
    Endpoint endpoint;
    RequestId request;
    std::unique_ptr<HttpConnection> connection;
    /// Bytes received after the last whole event.
    std::string rest;
};

HttpUpstreamClient::HttpUpstreamClient(asio::any_io_executor executor, std::chrono::nanoseconds connectTimeout)
    : m_executor(std::move(executor))
    , m_connectTimeout(connectTimeout)
{
}

HttpUpstreamClient::~HttpUpstreamClient() = default;

Task<Outcome<std::unique_ptr<HttpConnection>>> HttpUpstreamClient::acquire(Endpoint endpoint, bool needsFresh)
{
    auto& idle = m_idle[endpoint];
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty() && !needsFresh) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (now - candidate.since < maxIdleTime && candidate.connection->isReusable()) {
            co_return std::move(candidate.connection);
        }
    }
    auto connection = std::make_unique<HttpConnection>(m_executor);
    const auto connected = co_await connection->connect(endpoint, m_connectTimeout);
    if (!connected) {
        co_return std::unexpected(connected.error());
    }
    co_return std::move(connection);
}

void HttpUpstreamClient::release(const Endpoint& endpoint, std::unique_ptr<HttpConnection> connection)
{
    auto& idle = m_idle[endpoint];
    if (connection->isReusable() && idle.size() < maxIdlePerUpstream) {
        idle.push_back({ std::move(connection), std::chrono::steady_clock::now() });
    }
}

Task<Outcome<StreamId>> HttpUpstreamClient::start(
    Endpoint endpoint, GenerationCall call, std::chrono::nanoseconds timeout)
{
    auto connection = co_await acquire(endpoint, false);
    if (!connection) {
        co_return std::unexpected(connection.error());
    }
    const auto head = co_await (*connection)->send(UpstreamCodec::encodeGeneration(call), timeout);
    if (!head) {
        co_return std::unexpected(head.error());
    }
    if (head->status != 200) {
        const bool isNotStarted = findHeader(head->headers, "X-Not-Started").has_value();
        co_return fail(isNotStarted ? ErrorCode::Unavailable : ErrorCode::ProtocolError,
            "the engine answered with status " + std::to_string(head->status),
            isNotStarted ? RunState::NotRun : RunState::Unknown);
    }
    const StreamId id(m_nextStream++);
    const auto stream = std::make_shared<Stream>();
    stream->endpoint = endpoint;
    stream->request = call.request;
    stream->connection = std::move(*connection);
    m_streams.emplace(id, stream);
    co_return id;
}

Task<Outcome<GenerationEvent>> HttpUpstreamClient::next(StreamId id, std::chrono::nanoseconds timeout)
{
    const auto it = m_streams.find(id);
    if (it == m_streams.end()) {
        co_return fail(ErrorCode::Cancelled, "the stream is closed", RunState::Unknown);
    }
    // Holds the stream while suspended, since cancel() may run meanwhile.
    const auto stream = it->second;
    for (;;) {
        const auto end = stream->rest.find("\n\n");
        if (end != std::string::npos) {
            const std::string block = stream->rest.substr(0, end);
            stream->rest.erase(0, end + 2);
            if (!block.starts_with("data: ")) {
                continue;
            }
            auto event = UpstreamCodec::decodeEvent(std::string_view(block).substr(6), stream->request);
            if (!event) {
                cancel(id);
                co_return event;
            }
            if (event->kind == GenerationEventKind::Finished) {
                m_streams.erase(id);
                // Reads "[DONE]" and the last chunk, so that the connection can carry another request.
                const auto tail = co_await stream->connection->readAll(timeout);
                if (tail) {
                    release(stream->endpoint, std::move(stream->connection));
                }
            }
            co_return event;
        }
        auto part = co_await stream->connection->readSome(timeout);
        if (part && part->empty()) {
            part = fail(ErrorCode::ConnectionLost, "the engine ended the stream early", RunState::Unknown);
        }
        if (part && stream->rest.size() + part->size() > maxEventBytes) {
            part = fail(ErrorCode::ProtocolError, "the engine sent an event over the size limit", RunState::Unknown);
        }
        if (!part) {
            cancel(id);
            co_return std::unexpected(part.error());
        }
        stream->rest += *part;
    }
}

void HttpUpstreamClient::cancel(StreamId id)
{
    const auto it = m_streams.find(id);
    if (it != m_streams.end()) {
        it->second->connection->close();
        m_streams.erase(it);
    }
}

Task<Outcome<PlainAnswer>> HttpUpstreamClient::run(Endpoint endpoint, PlainCall call, std::chrono::nanoseconds timeout)
{
    auto connection = co_await acquire(endpoint, call.needsFreshConnection);
    if (!connection) {
        co_return std::unexpected(connection.error());
    }
    const auto end = std::chrono::steady_clock::now() + timeout;
    const auto head = co_await (*connection)->send(UpstreamCodec::encodePlain(call), timeout);
    if (!head) {
        co_return std::unexpected(head.error());
    }
    // Checked first, since a refusal of another request says nothing about this one.
    if (findHeader(head->headers, "X-Request-Id") != std::string_view(call.request.value())) {
        (*connection)->close();
        co_return fail(ErrorCode::Mismatch, "the upstream answered another request", RunState::Unknown);
    }
    if (head->status == 503 && findHeader(head->headers, "X-Not-Started")) {
        co_return fail(ErrorCode::Unavailable, "the upstream did not start the call");
    }
    auto body = co_await (*connection)->readAll(end - std::chrono::steady_clock::now());
    if (!body) {
        co_return std::unexpected(body.error());
    }
    PlainAnswer answer;
    answer.status = head->status;
    answer.contentType = findHeader(head->headers, "Content-Type").value_or("application/octet-stream");
    answer.body = std::move(*body);
    release(endpoint, std::move(*connection));
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

} // namespace Pollenwind
