#include "Gateway/PeerFeed.h"

#include "Gateway/FeedCodec.h"
#include "Gateway/FeedFrontEnd.h"

namespace Pollenwind {

namespace {

    // VMs of one zone answer within a few milliseconds; a small one may be busy for a while.
    constexpr std::chrono::milliseconds responseTimeout { 400 };
    constexpr std::chrono::milliseconds recordsTimeout { 1200 };

    // All records: the configuration has up to 1 MB, an entry of a runner some hundred bytes.
    constexpr BodyLimit recordsLimit { MemoryUse::PeerFeed, 8UL * 1024 * 1024 };

} // namespace

PeerFeed::PeerFeed(asio::any_io_executor executor, Endpoint endpoint, std::string localAddress)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
    , m_localAddress(std::move(localAddress))
{
}

Task<Outcome<FeedRecords>> PeerFeed::readAll()
{
    auto reply = co_await call({ "GET", std::string(FeedFrontEnd::recordsPath), "", {}, "" }, recordsTimeout);
    if (!reply) {
        co_return std::unexpected(reply.error());
    }
    co_return FeedCodec::toRecords(std::move(*reply));
}

Task<Outcome<FeedChanges>> PeerFeed::changesAfter(std::int64_t revision, std::chrono::milliseconds wait)
{
    const auto query = "after=" + std::to_string(revision) + "&wait_ms=" + std::to_string(wait.count());
    co_return co_await call({ "GET", std::string(FeedFrontEnd::changesPath), query, {}, "" }, wait + responseTimeout);
}

Task<Outcome<FeedRecords>> PeerFeed::readConfiguration(std::int64_t afterVersion)
{
    const auto query = "after=" + std::to_string(afterVersion);
    auto reply = co_await call({ "GET", std::string(FeedFrontEnd::configurationPath), query, {}, "" }, responseTimeout);
    if (!reply) {
        co_return std::unexpected(reply.error());
    }
    co_return FeedCodec::toRecords(std::move(*reply));
}

Task<Outcome<FeedChanges>> PeerFeed::call(HttpRequest request, std::chrono::nanoseconds timeout)
{
    // Owned by this call until it has succeeded, so that a connection with a failed call is never used again.
    auto connection = std::move(m_connection);
    if (!connection || !connection->isReusable()) {
        connection = std::make_unique<HttpConnection>(m_executor);
        connection->setLocalAddress(m_localAddress);
        if (const auto connected = co_await connection->connect(m_endpoint, responseTimeout); !connected) {
            co_return fail(ErrorCode::StoreUnavailable, "watcher: " + connected.error().message);
        }
    }
    const auto head = co_await connection->send(request, timeout);
    const auto body = head ? co_await connection->readAll(recordsLimit, recordsTimeout)
                           : Outcome<std::string>(std::unexpected(head.error()));
    if (!body) {
        co_return fail(ErrorCode::StoreUnavailable, "watcher: " + body.error().message);
    }
    if (head->status == FeedFrontEnd::statusGone) {
        m_connection = std::move(connection);
        co_return fail(ErrorCode::Conflict, "the watcher no longer has the changes after this revision");
    }
    if (head->status == FeedFrontEnd::statusForbidden && request.path == FeedFrontEnd::configurationPath) {
        co_return fail(ErrorCode::Forbidden, "watcher: this VM is not known");
    }
    auto changes = head->status == FeedFrontEnd::statusOk ? FeedCodec::decode(*body) : std::nullopt;
    if (!changes) {
        co_return fail(ErrorCode::StoreUnavailable, "watcher: status " + std::to_string(head->status));
    }
    m_connection = std::move(connection);
    co_return std::move(*changes);
}

} // namespace Pollenwind
