#pragma once

#include "Bench/EngineModel.h"
#include "Bench/Workload.h"
#include "Placement/CostPolicy.h"
#include "Placement/PlacementIndex.h"

#include <functional>
#include <memory>
#include <queue>

namespace Pollenwind::Bench {

/// Policies that the benchmark compares.
enum class PolicyKind {
    RoundRobin,
    LeastLoad,
    WholePrefix,
    Cost,
    Oracle,
};

/// Parameters of one simulation run.
struct SimulationOptions {
    WorkloadShape shape;
    PolicyKind policy = PolicyKind::Cost;
    CostPolicyOptions cost;
    PlacementIndexOptions index;
    /// Requests per second over all routers.
    double rate = 50;
    /// Virtual duration in seconds; the first warmUp seconds are not measured.
    double seconds = 120;
    double warmUp = 30;
    std::uint64_t seed = 1;
};

/// Results of one run. Shares are fractions from 0 to 1, times are in seconds.
struct SimulationResult {
    std::size_t requests = 0;
    double hitRate = 0;
    double wasted = 0;
    double p50 = 0;
    double p99 = 0;
    /// Fraction of the measured time that the engines spend in prefill.
    double busy = 0;
    /// Fraction of the requests that were sent to another zone.
    double crossZone = 0;
    /// Highest p99 and lowest hit rate of any organisation.
    double worstP99 = 0;
    double worstHitRate = 1;
};

/// Discrete-event simulation of routers that place requests on engines: single-threaded, in virtual time, deterministic
/// for a seed.
class PlacementSimulation {
public:
    explicit PlacementSimulation(SimulationOptions options);
    ~PlacementSimulation();

    SimulationResult run();

private:
    struct RouterModel;
    struct RequestRecord;
    class OraclePolicy;
    struct Event {
        double at = 0;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator>(const Event& other) const { return at != other.at ? at > other.at : number > other.number; }
    };

    void schedule(double at, std::function<void()> action);
    std::unique_ptr<PlacementPolicy> makePolicy(RouterModel& router, std::size_t number);
    void arrive();
    void enqueue(std::size_t engine, std::size_t request);
    void startPrefill(std::size_t engine);
    void endPrefill(std::size_t engine);
    void report(std::size_t router, std::size_t engine);
    void deliverEvents(std::size_t router, std::size_t engine);
    std::uint32_t longestCachedPrefix(const PrefixChain& chain) const;
    double backlog(std::size_t engine) const;
    SimulationResult summarise() const;

    SimulationOptions m_options;
    ManualClock m_clock;
    double m_now = 0;
    std::mt19937_64 m_random;
    Workload m_workload;
    std::vector<EngineModel> m_engines;
    std::vector<std::unique_ptr<RouterModel>> m_routers;
    std::vector<RequestRecord> m_requests;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_nextEvent = 0;
};

} // namespace Pollenwind::Bench

namespace Pollenwind {

template <> struct EnumTable<Bench::PolicyKind> {
    static constexpr std::array rows {
        EnumName { Bench::PolicyKind::RoundRobin, "round robin" },
        EnumName { Bench::PolicyKind::LeastLoad, "least load" },
        EnumName { Bench::PolicyKind::WholePrefix, "whole prefix" },
        EnumName { Bench::PolicyKind::Cost, "cost" },
        EnumName { Bench::PolicyKind::Oracle, "oracle" },
    };
};

} // namespace Pollenwind
