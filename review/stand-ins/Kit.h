#pragma once

#include "Common/JsonFields.h"
#include "Common/Sleep.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <chrono>
#include <csignal>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the platform, the runners and the callers of pollenwind-gateway, for the cases of a review.
namespace Review {

using namespace Pollenwind;
using namespace std::chrono_literals;
using Json = JsonFields::Json;
using SteadyTime = std::chrono::steady_clock::time_point;

/// Exit codes of a case.
inline constexpr int ruleHeld = 0;
inline constexpr int ruleBroken = 1;
inline constexpr int couldNotRun = 2;

/// Milliseconds between two points in time.
std::int64_t milliseconds(std::chrono::nanoseconds time);

/// Writes what was sent, answered and run, one line each, with the time since the start in milliseconds.
class Record {
public:
    explicit Record(const std::string& path);
    void line(const std::string& text);

private:
    std::ofstream m_out;
    SteadyTime m_start = std::chrono::steady_clock::now();
};

/// A write whose answer is lost and which takes effect later, if its condition still holds.
struct LateWrite {
    std::chrono::milliseconds delay { 0 };
};

/// The platform's metadata store: keys with revisions, leases, conditional writes and watches.
class Store final : public HttpHandler {
public:
    explicit Store(asio::any_io_executor executor);

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }
    Outcome<Endpoint> listen(const std::string& address) { return m_server.listen({ address, 0 }); }

    /// Writes a key as the operator or a runner does.
    void put(const std::string& key, const std::string& value);
    void erase(const std::string& key);
    std::optional<std::string> value(const std::string& key) const;
    std::int64_t revision() const { return m_content.revision; }

    /// Keeps a copy from which restore() brings the store back.
    void copy();
    /// Goes back to the copy, with the next era. What was written since is gone, leases too.
    void restore();
    /// While it is away, each call is answered with 503.
    void setAway(bool isAway) { m_isAway = isAway; }

    /// Called for each conditional write, before it takes effect, with the key and the value.
    std::function<std::optional<LateWrite>(const std::string& key, const std::string& value)> onWrite;
    /// Called after a late write was tried, with whether its condition still held.
    std::function<void(bool)> onLateWrite;

private:
    struct Item {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct Lease {
        std::chrono::milliseconds timeToLive { 0 };
        SteadyTime until;
    };
    struct Change {
        std::string key;
        std::optional<Item> item;
        std::int64_t revision = 0;
    };

    /// What a copy of the store holds.
    struct Content {
        std::int64_t revision = 10;
        std::int64_t nextLease = 77'000;
        std::map<std::string, Item> items;
        std::map<std::int64_t, Lease> leases;
        std::vector<Change> changes;
    };

    Task<HttpAnswer> respond(const HttpRequest& request);
    HttpAnswer answerRange(const HttpRequest& request) const;
    HttpAnswer answerTransaction(const Json& body);
    Task<HttpAnswer> answerWatch(const HttpRequest& request);
    static Json toJson(const std::string& key, const Item& item);
    void write(const std::string& key, std::optional<Item> item);
    void endLease(std::int64_t lease);
    void expireLeases();
    Task<> applyLater(Json body, std::chrono::milliseconds delay);

    asio::any_io_executor m_executor;
    HttpServer m_server;
    Content m_content;
    Content m_copy;
    std::int64_t m_era = 1;
    bool m_isAway = false;
};

/// One entry machine: a process of the gateway that the platform starts again when it has ended.
class Machine {
public:
    static constexpr std::uint16_t frontPort = 8606;

    Machine(std::string name, std::string zone, std::string address, const Endpoint& store, const std::string& folder);
    ~Machine();
    Machine(const Machine&) = delete;
    Machine& operator=(const Machine&) = delete;

    /// Starts the process, and starts it again after each end, until end().
    Task<> supervise();
    void signal(int number) const;
    /// Kills the process for good.
    void end();

    const std::string& name() const { return m_name; }
    bool isRunning() const { return m_pid != 0; }
    /// Number of ends that end() has not caused.
    unsigned ends() const { return m_ends; }
    /// How the process last ended.
    const std::string& lastEnd() const { return m_lastEnd; }
    Endpoint front() const { return { m_address, frontPort }; }
    Endpoint ready() const { return { m_address, 8605 }; }

private:
    bool start();

    std::string m_name;
    std::string m_address;
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
    unsigned m_ends = 0;
    std::string m_lastEnd;
    bool m_isEnded = false;
};

/// A deployment on loopback addresses of its own: the store and some machines.
class Deployment {
public:
    /// @param index Tells deployments of one case apart.
    Deployment(asio::any_io_executor executor, std::size_t machines, unsigned index = 0);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts the store. The machines start with startMachines().
    Outcome<void> listen();
    void startMachines();
    /// Waits until all machines are ready.
    Task<bool> waitUntilReady();
    /// Loopback address with the given last two numbers.
    std::string address(unsigned third, unsigned fourth) const;

    Store store;
    std::deque<Machine> machines;

private:
    /// Whether no process uses the machines' addresses.
    bool isFree() const;

    asio::any_io_executor m_executor;
    std::size_t m_count;
    std::string m_folder;
    unsigned m_net = 0;
    unsigned m_index = 0;
};

/// An order that a runner got.
struct Order {
    std::string holder;
    std::int64_t fence = 0;
    std::int64_t version = 0;
    int status = 0;
    SteadyTime at;
};

/// A runner, with or without a model.
class Runner : public HttpHandler {
public:
    /// @param model Name of its model; empty for a runner without one.
    Runner(asio::any_io_executor executor, std::string id, std::string service, std::string zone, std::string model);

    Outcome<void> listen(const std::string& address);
    /// Writes the runner's entry now and at each heartbeat.
    Task<> beat(Store& store);
    std::string entry();

    Task<> handle(HttpExchange& exchange) override;
    HttpAnswer refusal(int status, std::string_view) const override { return { status, "", "", {} }; }

    const std::string& id() const { return m_id; }
    const Endpoint& endpoint() const { return m_endpoint; }
    std::int64_t version() const { return m_version; }
    const std::deque<Order>& orders() const { return m_orders; }

    /// Time of the last heartbeat.
    SteadyTime beatAt() const { return m_beatAt; }

    /// Called for each order after it was answered.
    std::function<void(const Order&)> onOrder;
    /// Called for each request that the runner begins to run.
    std::function<void(const HttpRequest&)> onRequest;

protected:
    /// Runs and answers one request.
    virtual Task<> serve(HttpExchange& exchange);
    /// Headers of the answer to a request.
    HttpHeaders answerHeaders(const HttpRequest& request) const;

private:
    Task<> takeOrder(HttpExchange& exchange);

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    std::string m_model;
    Endpoint m_endpoint;
    HttpServer m_server;
    std::int64_t m_born = 0;
    std::int64_t m_version = 1;
    std::int64_t m_accepted = 0;
    std::int64_t m_beats = 0;
    SteadyTime m_beatAt;
    bool m_isLoading = false;
    std::deque<Order> m_orders;
};

/// Sends one request and returns the whole answer; status 0 without one.
Task<HttpAnswer> call(Endpoint front, HttpRequest request, std::chrono::nanoseconds timeout = 5s);

/// File for the record; RECORD names it.
std::string recordFile();

/// Whether the case runs with its disruption; TROUBLE=0 turns it off.
bool hasTrouble();

/// Runs a case in one thread.
/// @tparam Case Constructed with an executor; its play() returns the exit code.
template <typename Case> int runCase()
{
    asio::io_context context(1);
    Case review(context.get_executor());
    int code = couldNotRun;
    // A case that is stopped still ends the processes that it started.
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    asio::co_spawn(context, review.play(), [&](const std::exception_ptr& error, int result) {
        code = error ? couldNotRun : result;
        context.stop();
    });
    context.run();
    return code;
}

} // namespace Review
