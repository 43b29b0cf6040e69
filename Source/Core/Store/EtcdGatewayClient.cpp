#include "Store/EtcdGatewayClient.h"

#include "Store/EtcdCodec.h"

namespace Pollenwind {

namespace {

    constexpr std::size_t maxIdleConnections = 4;

    // The store's pages are bounded by its limit of 1 MB for a value.
    constexpr BodyLimit responseLimit { MemoryUse::StoreResponse, 8UL * 1024 * 1024 };

    Error storeError(const Error& error)
    {
        return Error { ErrorCode::StoreUnavailable, "store: " + error.message, error.runState };
    }

} // namespace

struct EtcdGatewayClient::Watch {
    explicit Watch(asio::any_io_executor executor)
        : connection(std::move(executor))
    {
    }

    HttpConnection connection;
    /// Bytes received after the last complete line.
    std::string partialLine;
};

EtcdGatewayClient::EtcdGatewayClient(
    asio::any_io_executor executor, Endpoint endpoint, EtcdGatewayTimeouts timeouts, MetricCommands& metrics)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
    , m_timeouts(timeouts)
    , m_metrics(metrics)
{
}

EtcdGatewayClient::~EtcdGatewayClient() = default;

Task<Outcome<HttpAnswer>> EtcdGatewayClient::exchange(HttpRequest request)
{
    std::unique_ptr<HttpConnection> connection;
    while (!m_idle.empty() && !connection) {
        connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (!connection->isReusable()) {
            connection.reset();
        }
    }
    if (!connection) {
        connection = std::make_unique<HttpConnection>(m_executor);
        const auto connected = co_await connection->connect(m_endpoint, m_timeouts.call);
        if (!connected) {
            co_return std::unexpected(storeError(connected.error()));
        }
    }
    auto head = co_await connection->send(request, m_timeouts.call);
    if (!head) {
        co_return std::unexpected(storeError(head.error()));
    }
    auto body = co_await connection->readAll(responseLimit, m_timeouts.call);
    if (!body) {
        co_return std::unexpected(storeError(body.error()));
    }
    if (connection->isReusable() && m_idle.size() < maxIdleConnections) {
        m_idle.push_back(std::move(connection));
    }
    HttpAnswer answer;
    answer.status = head->status;
    answer.body = std::move(*body);
    co_return answer;
}

Task<Outcome<std::string>> EtcdGatewayClient::call(std::string method, std::string path, std::string body)
{
    m_metrics.count(Counter::StoreCalls);
    const auto start = std::chrono::steady_clock::now();
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.headers = { { "Content-Type", "application/json" } };
    request.body = std::move(body);
    auto answer = co_await exchange(std::move(request));
    m_metrics.observe(Distribution::StoreCallDuration, std::chrono::steady_clock::now() - start);
    if (!answer) {
        m_metrics.count(Counter::StoreFailures);
        co_return std::unexpected(answer.error());
    }
    if (answer->status != 200) {
        m_metrics.count(Counter::StoreFailures);
        // The gateway responds with 4xx (429 included) before it executes a request; a 5xx may follow a write.
        const auto runState = answer->status >= 500 ? RunState::Unknown : RunState::NotRun;
        co_return fail(ErrorCode::StoreUnavailable, "store: status " + std::to_string(answer->status), runState);
    }
    co_return std::move(answer->body);
}

Task<Outcome<StoreRange>> EtcdGatewayClient::read(std::string key)
{
    const auto body = co_await call("POST", "/v3/kv/range", EtcdCodec::encodeRange(key, false));
    co_return body ? EtcdCodec::decodeRange(*body) : std::unexpected(body.error());
}

Task<Outcome<StoreRange>> EtcdGatewayClient::readPrefix(std::string prefix)
{
    const auto body = co_await call("POST", "/v3/kv/range", EtcdCodec::encodeRange(prefix, true));
    co_return body ? EtcdCodec::decodeRange(*body) : std::unexpected(body.error());
}

Task<Outcome<SwapResult>> EtcdGatewayClient::compareAndSwap(
    std::string key, std::int64_t expectedRevision, std::string value, LeaseId lease)
{
    const auto body = co_await call("POST", "/v3/kv/txn", EtcdCodec::encodeSwap(key, expectedRevision, value, lease));
    co_return body ? EtcdCodec::decodeSwap(*body) : std::unexpected(body.error());
}

Task<Outcome<SwapResult>> EtcdGatewayClient::compareAndErase(std::string key, std::int64_t expectedRevision)
{
    const auto body = co_await call("POST", "/v3/kv/txn", EtcdCodec::encodeErase(key, expectedRevision));
    co_return body ? EtcdCodec::decodeSwap(*body) : std::unexpected(body.error());
}

Task<Outcome<LeaseId>> EtcdGatewayClient::grantLease(std::chrono::seconds timeToLive)
{
    const auto body = co_await call("POST", "/v3/lease/grant", EtcdCodec::encodeLeaseGrant(timeToLive));
    co_return body ? EtcdCodec::decodeLeaseGrant(*body) : std::unexpected(body.error());
}

Task<Outcome<std::chrono::seconds>> EtcdGatewayClient::keepAlive(LeaseId lease)
{
    const auto body = co_await call("POST", "/v3/lease/keepalive", EtcdCodec::encodeLeaseId(lease));
    co_return body ? EtcdCodec::decodeKeepAlive(*body) : std::unexpected(body.error());
}

Task<Outcome<void>> EtcdGatewayClient::revoke(LeaseId lease)
{
    const auto body = co_await call("POST", "/v3/lease/revoke", EtcdCodec::encodeLeaseId(lease));
    if (!body) {
        co_return std::unexpected(body.error());
    }
    co_return Outcome<void> {};
}

Task<Outcome<VmList>> EtcdGatewayClient::listVms()
{
    const auto body = co_await call("GET", "/platform/vms", "");
    co_return body ? EtcdCodec::decodeVmList(*body) : std::unexpected(body.error());
}

Task<Outcome<void>> EtcdGatewayClient::setListedVm(ListedVm vm)
{
    const auto body = co_await call("POST", "/platform/vms", EtcdCodec::encodeListedVm(vm));
    if (!body) {
        co_return std::unexpected(body.error());
    }
    co_return Outcome<void> {};
}

Task<Outcome<WatchId>> EtcdGatewayClient::openWatch(std::string prefix, std::int64_t fromRevision)
{
    m_metrics.count(Counter::StoreCalls);
    const auto watch = std::make_shared<Watch>(m_executor);
    const WatchId id(m_nextWatch++);
    m_watches.emplace(id, watch);
    HttpRequest request;
    request.method = "POST";
    request.path = "/v3/watch";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = EtcdCodec::encodeWatch(prefix, fromRevision);
    const auto connected = co_await watch->connection.connect(m_endpoint, m_timeouts.call);
    auto head = connected ? co_await watch->connection.send(request, m_timeouts.call)
                          : Outcome<HttpHead>(std::unexpected(connected.error()));
    if (head && head->status != 200) {
        head = fail(ErrorCode::StoreUnavailable, "watch: status " + std::to_string(head->status));
    }
    if (!head) {
        m_metrics.count(Counter::StoreFailures);
        m_watches.erase(id);
        co_return std::unexpected(storeError(head.error()));
    }
    co_return id;
}

Task<Outcome<StoreEvents>> EtcdGatewayClient::nextEvents(WatchId id)
{
    const auto it = m_watches.find(id);
    if (it == m_watches.end()) {
        co_return fail(ErrorCode::StoreUnavailable, "the watch is closed");
    }
    // Keeps the watch alive while this task is suspended, since closeWatch() may be called meanwhile.
    const auto watch = it->second;
    for (;;) {
        const auto end = watch->partialLine.find('\n');
        if (end != std::string::npos) {
            const auto line = watch->partialLine.substr(0, end);
            watch->partialLine.erase(0, end + 1);
            co_return EtcdCodec::decodeWatchLine(line);
        }
        const auto part = co_await watch->connection.readSome(m_timeouts.watchSilence);
        if (!part) {
            co_return std::unexpected(storeError(part.error()));
        }
        if (part->empty()) {
            co_return fail(ErrorCode::StoreUnavailable, "the store ended the watch");
        }
        watch->partialLine += *part;
    }
}

void EtcdGatewayClient::closeWatch(WatchId id)
{
    const auto it = m_watches.find(id);
    if (it != m_watches.end()) {
        it->second->connection.close();
        m_watches.erase(it);
    }
}

} // namespace Pollenwind
