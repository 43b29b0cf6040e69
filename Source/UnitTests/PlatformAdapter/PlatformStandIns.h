#pragma once

#include "Common/JsonFields.h"
#include "Transport/HttpServer.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// Stand-in for the platform's metadata store that can inject the faults its clients must handle.
class KvStoreStandIn final : public HttpHandler {
public:
    explicit KvStoreStandIn(asio::any_io_executor executor);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }

    Outcome<Endpoint> listen() { return m_server.listen({ "127.0.0.1", 0 }); }

    /// Writes a key as the operator or a runner does.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    std::optional<std::string> value(const std::string& key) const;
    /// Ends all leases at once.
    void endLeases();
    /// Compacts the history: a watch from a revision before this call fails with status 410.
    void compact() { m_compactedRevision = m_content.revision; }
    /// Keeps a copy of the records and leases from which restore() brings the store back.
    void copy();
    /// Goes back to the copy: later records and leases are gone, revisions and lease ids are given out again, and the
    /// era rises. Waiting watches end.
    void restore();

    /// Status of the response to every call; 0 serves the calls.
    int forcedStatus = 0;
    /// Delay of each response.
    std::chrono::milliseconds delay { 0 };
    /// Executes the next write and closes the connection without a response.
    bool dropsNextResponse = false;
    /// Largest number of entries in one page.
    std::size_t pageSize = 500;
    /// Number of calls by method and path, without ids in the path.
    std::map<std::string, unsigned> calls;

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds timeToLive { 0 };
        std::chrono::steady_clock::time_point until;
    };
    struct Change {
        std::string key;
        std::optional<Item> item;
        std::int64_t revision = 0;
    };
    /// What a copy of the store holds.
    struct Content {
        std::int64_t revision = 10;
        std::int64_t nextLease = 500;
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
    };
    using Json = JsonFields::Json;

    Task<HttpAnswer> respond(const HttpRequest& request);
    HttpAnswer answerRange(const HttpRequest& request);
    HttpAnswer answerTransaction(const Json& body);
    Task<HttpAnswer> answerWatch(const HttpRequest& request);
    Json toJson(const std::string& key, const Item& item) const;
    void write(const std::string& key, std::optional<Item> item);
    void eraseKeysOfLease(std::int64_t lease);
    /// Ends the leases that were not renewed in time and erases their keys.
    void expireLeases();

    asio::any_io_executor m_executor;
    HttpServer m_server;
    Content m_content;
    Content m_copy;
    std::int64_t m_era = 1;
    std::int64_t m_compactedRevision = 0;
    std::vector<Change> m_changes;
};

/// Stand-in for a runner: sends scripted responses and accepts orders to load weights.
class RunnerStandIn final : public HttpHandler {
public:
    RunnerStandIn(asio::any_io_executor executor, std::string id);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }

    Outcome<Endpoint> listen();
    std::size_t connections() const { return m_server.connectionCount(); }
    /// The runner's entry in the store, as JSON.
    std::string entry(const std::string& service) const;

    std::string id;
    Endpoint endpoint;
    /// Version of the software.
    std::string software = "v1";
    /// Version of the loaded weights.
    std::int64_t weights = 1;
    /// Number of accepted orders.
    std::int64_t orders = 0;
    /// Status of responses to requests.
    int status = 200;
    /// States in each response to a request that the request did not run.
    bool refuses = false;
    /// Further headers of every response to a request and of the report.
    HttpHeaders moreHeaders;
    /// Events of a streamed response; when empty, the response is not streamed.
    std::vector<std::string> events;
    /// Closes the connection after this many events of a stream that is not resumed.
    std::optional<std::size_t> disconnectsAfterEvents;
    /// Delay of each response.
    std::chrono::milliseconds delay { 0 };
    std::vector<HttpRequest> requests;
    /// Requests whose connection was closed before the response.
    unsigned disconnectedCallers = 0;

private:
    Task<> answerRequest(HttpExchange& exchange);

    HttpServer m_server;
};

} // namespace Pollenwind
