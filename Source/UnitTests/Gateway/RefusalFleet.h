#pragma once

#include "Gateway/GatewayFixture.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace Pollenwind {

/// Load on a simulated fleet, a part of whose runners refuses requests.
struct RefusalLoad {
    std::size_t vms = 6;
    std::size_t runners = 9;
    /// Runners that refuse all requests from 2 s to the end of the refusals.
    std::size_t refusing = 3;
    std::chrono::milliseconds refusalsEnd { 10'000 };
    /// Time that a refusing runner names; nothing to name none.
    std::optional<std::chrono::milliseconds> unwantedFor;
    unsigned slots = 8;
    unsigned queue = 4;
    std::chrono::milliseconds serviceTime { 100 };
    /// Requests per second. The runners that do not refuse can serve 480.
    double rate = 648;
    std::chrono::milliseconds duration { 14'000 };
};

/// What became of the requests of a simulated load.
struct RefusalOutcome {
    std::size_t requests = 0;
    std::size_t served = 0;
    /// Requests that reached a refusing runner.
    std::size_t atRefusing = 0;
    /// Largest number of requests that one runner got from one VM from 0.5 s after a refusal to the end of its time.
    std::size_t mostInBackOff = 0;
    /// Times from the arrival to the refusal of the requests that were not served, sorted.
    std::vector<std::chrono::nanoseconds> refusedAfter;

    double servedShare() const { return static_cast<double>(served) / static_cast<double>(requests); }
    std::chrono::nanoseconds refusalTime(double quantile) const;
};

/// A fleet in virtual time whose VMs dispatch with ForwardDispatcher and report their work every 250 ms. A runner
/// executes a number of requests at once, queues a few more and refuses the rest.
class RefusalFleet {
public:
    RefusalFleet(const RefusalLoad& load, unsigned seed);
    ~RefusalFleet();

    /// Runs the load.
    RefusalOutcome run();

private:
    struct Vm;
    struct Runner;
    struct Request;
    class Client;
    class Exchange;

    /// Suspends the calling task until a time.
    Task<> sleepUntil(MonotonicTime time);
    /// Runs all tasks that are ready, then moves the clock to the next wake-up.
    void advanceTo(MonotonicTime end);
    void poll();
    void startRequest();
    void report();
    Task<> serve(Vm& vm, Request& request);
    ReplyHead accept(std::size_t vm, Runner& runner);

    RefusalLoad m_load;
    std::mt19937 m_random;
    asio::io_context m_context;
    ManualClock m_clock;
    MonotonicTime m_startedAt;
    std::multimap<MonotonicTime, asio::steady_timer*> m_wakeUps;
    std::deque<Runner> m_runners;
    std::deque<Vm> m_vms;
    std::deque<Request> m_requests;
    RefusalOutcome m_outcome;
};

} // namespace Pollenwind
