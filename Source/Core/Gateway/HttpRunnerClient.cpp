#include "Gateway/HttpRunnerClient.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Responses to earlier requests that are skipped on one connection before the exchange fails.
    constexpr unsigned maxStrayAnswers = 4;

    class HttpRunnerExchange final : public RunnerExchange {
    public:
        /// @param body Body of the message. It is held by the forwarded request, so that each attempt has no copy.
        HttpRunnerExchange(ConnectionPool& pool, const ForwardCodec& codec, Endpoint endpoint, HttpRequest message,
            const std::string& body, RequestId request, std::unique_ptr<HttpConnection> pooled,
            std::unique_ptr<HttpConnection> fresh, std::chrono::nanoseconds connectTimeout)
            : m_pool(pool)
            , m_codec(codec)
            , m_endpoint(std::move(endpoint))
            , m_message(std::move(message))
            , m_body(body)
            , m_request(std::move(request))
            , m_isPooled(pooled != nullptr)
            , m_connection(pooled ? std::move(pooled) : std::move(fresh))
            , m_connectTimeout(connectTimeout)
        {
        }

        Task<Outcome<void>> connect(std::chrono::nanoseconds timeout) override;
        Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds timeout) override;
        Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds timeout) override;

        bool isRequestSent() const override { return m_connection->isRequestSent(); }

        Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout) override
        {
            co_return co_await m_connection->readSome(timeout);
        }

        void cancel() override
        {
            m_isCancelled = true;
            m_connection->close();
        }

        void finish() override { m_pool.release(m_endpoint, std::move(m_connection)); }

    private:
        using TimePoint = std::chrono::steady_clock::time_point;

        /// Skips responses to earlier requests until the head of the response to this one has arrived.
        Task<Outcome<ReplyHead>> findOwnHead(Outcome<HttpHead> head, TimePoint until);

        ConnectionPool& m_pool;
        const ForwardCodec& m_codec;
        Endpoint m_endpoint;
        HttpRequest m_message;
        const std::string& m_body;
        RequestId m_request;
        bool m_isPooled;
        std::unique_ptr<HttpConnection> m_connection;
        std::chrono::nanoseconds m_connectTimeout;
        bool m_isCancelled = false;
        /// Responses to earlier requests that were skipped.
        unsigned m_strays = 0;
    };

    Task<Outcome<void>> HttpRunnerExchange::connect(std::chrono::nanoseconds timeout)
    {
        if (m_isPooled) {
            co_return Outcome<void> {};
        }
        const auto connected = co_await m_connection->connect(m_endpoint, std::min(timeout, m_connectTimeout));
        if (!connected) {
            co_return std::unexpected(connected.error());
        }
        if (m_isCancelled) {
            co_return fail(ErrorCode::Cancelled, "cancelled while connecting");
        }
        co_return Outcome<void> {};
    }

    Task<Outcome<ReplyHead>> HttpRunnerExchange::begin(std::chrono::nanoseconds timeout)
    {
        const auto until = std::chrono::steady_clock::now() + timeout;
        co_return co_await findOwnHead(co_await m_connection->send(m_message, m_body, timeout), until);
    }

    Task<Outcome<ReplyHead>> HttpRunnerExchange::awaitHead(std::chrono::nanoseconds timeout)
    {
        const auto until = std::chrono::steady_clock::now() + timeout;
        co_return co_await findOwnHead(co_await m_connection->readHead(timeout), until);
    }

    Task<Outcome<ReplyHead>> HttpRunnerExchange::findOwnHead(Outcome<HttpHead> head, TimePoint until)
    {
        for (;; ++m_strays) {
            if (!head) {
                co_return std::unexpected(head.error());
            }
            auto reply = m_codec.decodeReply(*head, m_request);
            if (m_isPooled && reply.kind != ReplyKind::Stray && !reply.origin.namesRequest) {
                // It may be a copy of an earlier response, so even a refusal does not show that the request did not
                // run.
                co_return fail(
                    ErrorCode::Mismatch, "the response on a kept connection names no request", RunState::Unknown);
            }
            if (reply.kind != ReplyKind::Stray) {
                reply.origin.isFirstOnConnection = !m_isPooled;
                co_return reply;
            }
            // A duplicate response to the previous request on this connection. The response to this one follows it.
            const auto skipped = co_await m_connection->skipBody(until - std::chrono::steady_clock::now());
            if (!m_isPooled || m_strays == maxStrayAnswers || !skipped) {
                co_return fail(
                    ErrorCode::Mismatch, "the runner sent the response to another request", RunState::Unknown);
            }
            head = co_await m_connection->readHead(until - std::chrono::steady_clock::now());
        }
    }

} // namespace

HttpRunnerClient::HttpRunnerClient(
    asio::any_io_executor executor, const ForwardCodec& codec, std::chrono::nanoseconds connectTimeout)
    : m_executor(std::move(executor))
    , m_codec(codec)
    , m_connectTimeout(connectTimeout)
{
}

std::unique_ptr<RunnerExchange> HttpRunnerClient::open(
    const Endpoint& endpoint, const ForwardRequest& request, const AttemptTerms& terms, bool mayReuse)
{
    auto pooled = mayReuse ? m_pool.take(endpoint) : nullptr;
    auto fresh = pooled ? nullptr : std::make_unique<HttpConnection>(m_executor);
    auto message = m_codec.encodeAttempt(request, terms);
    return std::make_unique<HttpRunnerExchange>(m_pool, m_codec, endpoint, std::move(message), request.message.body,
        request.id, std::move(pooled), std::move(fresh), m_connectTimeout);
}

} // namespace Pollenwind
