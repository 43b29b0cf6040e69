#pragma once

#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/Commands/WeightsClient.h"
#include "Gateway/OrderLease.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>
#include <map>
#include <set>

namespace Pollenwind {

/// Limits of the weights driver.
struct WeightsDriverOptions {
    /// Share of the runners that load at the same time, so that the others can serve requests.
    double concurrentShare = 0.34;
    /// Time for the report that a runner gets no new requests to reach the other VMs.
    std::chrono::milliseconds announceTime { 120 };
    /// Longest time to wait for the requests at a runner to end before it loads. Most generations take less, and a
    /// longer wait would take runners out of use for longer than it helps the remaining requests, which continue with
    /// the new weights.
    std::chrono::milliseconds drainTime { 900 };
    std::chrono::milliseconds callTimeout { 800 };
    /// Time between requests for the report of a runner that loads.
    std::chrono::milliseconds pollInterval { 250 };
    /// Time after which an order that was accepted but not completed is sent again.
    std::chrono::milliseconds loadTimeout { 7000 };
    /// Time for which a runner is not asked again after a report that is none. It doubles with each further one.
    std::chrono::milliseconds badReportPause { 500 };
    std::chrono::milliseconds maxBadReportPause { 8000 };
};

/// Orders runners to load the target weights while this VM holds the order lease.
class WeightsDriver {
public:
    WeightsDriver(asio::any_io_executor executor, const Clock& clock, const RunnerQueries& runners,
        RunnerCommands& runnerCommands, OrderLease& lease, WeightsClient& client, TimelineCommands& timeline, VmId vm,
        WeightsDriverOptions options);

    /// Compares target and reported weights and orders loads, indefinitely.
    Task<> run();

    /// Sets the handler that is called when the set of loading runners changes.
    void onLoadingChanged(std::function<void()> handler) { m_onLoadingChanged = std::move(handler); }

    /// Runners that load weights or are about to, by hash of id.
    const std::set<std::uint64_t>& loading() const { return m_loading; }
    /// Weights that runners have recently loaded, to be reported to the other VMs. The runners' entries show them up to
    /// a heartbeat later.
    std::vector<LoadedWeights> loaded() const;

private:
    /// A runner whose weights of one model are older than the target.
    struct PendingLoad {
        RunnerEntry runner;
        std::string model;
        /// Weights in the runner's entry.
        WeightsVersion current = 0;
        /// Target weights.
        WeightsVersion version = 0;
    };

    /// A runner that sent bytes which are no report.
    struct BadReports {
        /// Time from which it may be asked again.
        MonotonicTime until { 0 };
        std::chrono::milliseconds pause { 0 };
    };

    struct Loaded {
        LoadedWeights weights;
        MonotonicTime at { 0 };
    };

    /// Loads that are due: runners whose last order failed come last, otherwise the oldest weights first.
    /// @param runnerCount Set to the number of ready runners, counted once for each model that has a target.
    std::vector<PendingLoad> pendingLoads(std::size_t& runnerCount) const;
    Task<> load(PendingLoad pending);
    /// Gives the order and waits until the runner has the weights. A failed order is kept in m_failed.
    Task<> tryLoad(const PendingLoad& pending);
    /// Waits until the runner's requests have ended or the drain time has passed, and until the lease allows orders.
    Task<> drain(const PendingLoad& pending);
    /// @return True if the runner has accepted the order, may have accepted it, or needs none.
    /// Records the shutdown that a runner's report announces. Another process at its address does not count.
    /// @return Whether the runner shuts down.
    bool recordLeaving(const PendingLoad& pending, const RunnerReport& report);
    Task<bool> order(const PendingLoad& pending);
    /// Asks a runner for its report, and notes whether it is one.
    Task<Outcome<RunnerReport>> askReport(const UpstreamId& runner, const Endpoint& endpoint);
    /// Whether the runner is not to be asked yet, since its last report was none.
    bool isAvoided(std::uint64_t runner) const;
    void publishLoading();
    /// Returns also without a result when the load takes too long, the lease is lost or the runner restarts.
    Task<> waitUntilLoaded(const PendingLoad& pending);
    void recordLoaded(const PendingLoad& pending, WeightsVersion version);

    asio::any_io_executor m_executor;
    const Clock& m_clock;
    const RunnerQueries& m_runners;
    RunnerCommands& m_runnerCommands;
    OrderLease& m_lease;
    WeightsClient& m_client;
    TimelineCommands& m_timeline;
    VmId m_vm;
    WeightsDriverOptions m_options;
    std::set<std::uint64_t> m_loading;
    /// Runners whose last order failed, by hash of id.
    std::set<std::uint64_t> m_failed;
    /// By hash of the runner's id.
    std::map<std::uint64_t, BadReports> m_badReports;
    std::vector<Loaded> m_loaded;
    std::function<void()> m_onLoadingChanged;
};

} // namespace Pollenwind
