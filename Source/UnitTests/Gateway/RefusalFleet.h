#pragma once

#include "Gateway/GatewayFixture.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Pollenwind {

/// Requests of one route to simulated engines.
struct EngineRequests {
    std::string prefix;
    unsigned priority = 0;
    std::chrono::milliseconds objective { 600 };
    std::chrono::milliseconds timeout { 4000 };
    std::uint32_t promptTokens = 0;
    unsigned events = 1;
    /// Requests per second, and the factor on it while the peak lasts.
    double rate = 0;
    double peakFactor = 1;
    std::string organisation = "org";
    /// Shared part of the prompt; 0 for a different one in each request.
    std::uint64_t part = 0;
    /// Tokens of the shared part, on top of `promptTokens`.
    std::uint32_t sharedTokens = 0;
};

/// Simulated engines: they compute one prompt after the other, and each step of a batch takes longer meanwhile.
struct EngineModel {
    double tokensPerSecond = 157'000;
    std::chrono::microseconds batchStep { 3550 };
    std::chrono::milliseconds promptStep { 26 };
    std::chrono::microseconds stepPerRequest { 60 };
    unsigned stepsPerEvent = 8;
    /// Longest pause between events of a stream that is in time.
    std::chrono::milliseconds longestPause { 250 };
    std::vector<EngineRequests> requests;
    std::chrono::milliseconds peakStart { 4000 };
    std::chrono::milliseconds peakEnd { 10'000 };
    /// Engines that crash when the peak begins.
    std::size_t crashing = 0;
    /// Time at which all VMs are killed, and time until new ones have started; nothing for no restart. Callers of
    /// requests that run then get no answer. Callers that arrive or return meanwhile connect to the new VMs.
    std::optional<std::chrono::milliseconds> restartAt = std::nullopt;
    std::chrono::milliseconds restartTime { 1000 };
    /// Zones of the VMs and engines, in turn.
    std::vector<std::string> zones { "a" };
    /// Share by which the demand of each zone rises and falls within the period, one zone after the other; 0 for the
    /// same demand in all zones.
    double demandSwing = 0;
    std::chrono::milliseconds demandPeriod { 17'000 };
    /// See LoadSettings: whether VMs know the work of other zones, which their relays forward one interval later.
    bool sharesZoneWork = false;

    const std::string& zoneOf(std::size_t index) const { return zones[index % zones.size()]; }
    /// Factors on the speed, by engine in turn.
    std::vector<double> speeds { 1 };
    /// Whether VMs know the work of the others.
    bool hasReports = true;
    /// See LoadSettings; 0 for the behaviour without prompt pools and admission.
    unsigned yieldRanks = 2;
    /// Tokens of shared parts that an engine keeps; 0 for engines that compute all of them again.
    double cacheTokens = 0;
    /// Time to copy one cached token from another engine: 18,432 bytes at 370 Gbit/s.
    double copySecondsPerToken = 4e-7;
};

/// What became of the requests of one route to simulated engines.
struct EngineOutcome {
    std::size_t requests = 0;
    std::size_t inTime = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
    /// By the second of the arrival: requests, and those served in time.
    std::vector<std::size_t> arrivedBySecond;
    std::vector<std::size_t> inTimeBySecond;

    double inTimeShare() const { return static_cast<double>(inTime) / static_cast<double>(requests); }
};

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
    /// Runners that are engines, with the load on them; it replaces the rate.
    std::optional<EngineModel> engine = std::nullopt;
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
    /// Requests that a full engine refused.
    std::size_t engineRefusals = 0;
    /// Refusals for which a simulated engine with a free slot had no prompt to compute.
    std::size_t refusedWhileFree = 0;
    /// By prefix of the route and organisation.
    std::map<std::string, EngineOutcome> routes = {};
    /// By shared part and second: ports of the engines that ran prompts with it. Only for engines that keep parts.
    std::map<std::uint64_t, std::vector<std::set<std::uint16_t>>> enginesByPart = {};

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
    class EngineExchange;

    /// Suspends the calling task until a time.
    Task<> sleepUntil(MonotonicTime time);
    /// Runs all tasks that are ready, then moves the clock to the next wake-up.
    void advanceTo(MonotonicTime end);
    void poll();
    void startRequest();
    void report();
    Task<> serve(Vm& vm, Request& request);
    ReplyHead accept(std::size_t vm, Runner& runner);
    std::unique_ptr<RunnerExchange> openEngine(
        Runner& runner, const ForwardRequest& request, const AttemptTerms& terms);
    void startEngineRequest(const EngineRequests& kind);
    Task<> serveByEngines(Request& request, const EngineRequests& kind);
    void crashEngines();
    void restartVms();
    RefusalOutcome runEngines();
    /// Number of VMs that were killed.
    std::size_t killedVms() const;
    Vm& anyVm();
    Runner& runnerAt(const Endpoint& endpoint);

    RefusalLoad m_load;
    std::mt19937 m_random;
    asio::io_context m_context;
    ManualClock m_clock;
    MonotonicTime m_startedAt;
    std::multimap<MonotonicTime, asio::steady_timer*> m_wakeUps;
    std::deque<Runner> m_runners;
    /// The VMs in use are the last ones. Tasks of those that were killed still refer to them.
    std::deque<Vm> m_vms;
    MonotonicTime m_vmsStartedAt { 0 };
    std::deque<Request> m_requests;
    RefusalOutcome m_outcome;
};

} // namespace Pollenwind
