#pragma once

#include "Gateway/EnginePromptCache.h"
#include "Gateway/RefusalFleet.h"

namespace Pollenwind {

/// One-way delay between a VM and a runner.
inline constexpr std::chrono::milliseconds networkTime { 1 };
/// Interval at which VMs report their work to each other.
inline constexpr std::chrono::milliseconds reportInterval { 250 };

/// A simulated runner.
struct RefusalFleet::Runner {
    RunnerEntry entry;
    bool isRefusing = false;
    unsigned running = 0;
    /// Ends of the requests in execution and in the queue.
    std::vector<MonotonicTime> slotFreeAt;
    /// By VM: the last refusal that named a time, its end, and the requests since.
    struct BackOff {
        MonotonicTime from { 0 };
        MonotonicTime until { 0 };
        std::size_t requests = 0;
    };
    std::vector<BackOff> backOffs;

    /// Engines only. Requests with a slot are `running`.
    double speed = 1;
    std::size_t queued = 0;
    MonotonicTime promptsEndAt { 0 };
    bool isCrashed = false;
    EnginePromptCache cache { 0 };
    /// Requests that wait for a slot, the most urgent and then the oldest first.
    std::multimap<unsigned, asio::steady_timer*> waiting = {};

    void releaseSlot()
    {
        --running;
        if (!waiting.empty()) {
            waiting.begin()->second->cancel();
            waiting.erase(waiting.begin());
            ++running;
        }
    }
};

/// One VM with tables of its own.
struct RefusalFleet::Vm {
    Vm(RefusalFleet& fleet, std::size_t n);

    std::size_t index;
    Timeline timeline;
    MetricTable metrics;
    RoutingTable routing;
    RunnerTable runners;
    FleetQuota quota;
    CacheDirectory directory;
    AffinityPolicy policy;
    RetryBudget retryBudget;
    FixedFreshness freshness;
    RequestLog log;
    std::unique_ptr<Client> client;
    FleetView view;
    PartQuarantine quarantine;
    ScriptedProbe probe;
    CrashDetector crashes;
    RolloutTable rollouts;
    ForwardDispatcher dispatcher;
    /// Zone, and the work in the last report to it, which its relay forwards to the other zones.
    std::string zone;
    std::map<std::uint64_t, RunnerLoad> relayedLoads;
};

/// One request and what its caller received.
struct RefusalFleet::Request {
    ForwardRequest message;
    RecordingSink sink;
    /// Whether a VM has it.
    bool isForwarded = false;
    MonotonicTime arrivedAt { 0 };
};

} // namespace Pollenwind
