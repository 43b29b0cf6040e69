#pragma once

#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/Commands/WeightsClient.h"
#include "Gateway/OrderLease.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>
#include <set>

namespace Pollenwind {

/// Limits of the weights driver.
struct WeightsDriverOptions {
    /// Part of a model's runners that load at the same time. The others serve meanwhile.
    double concurrentShare = 0.34;
    /// Time for the other VMs to hear that a runner gets no new requests.
    std::chrono::milliseconds announceTime { 120 };
    /// Longest time that the requests at a runner get to end before it loads. Most generations take less; a longer
    /// wait keeps more runners away from the requests than the rest of a generation is worth.
    std::chrono::milliseconds drainTime { 900 };
    std::chrono::milliseconds callTimeout { 800 };
    std::chrono::milliseconds pollInterval { 250 };
    /// Time after which an order that was accepted but not carried out is given again.
    std::chrono::milliseconds loadTimeout { 7000 };
};

/// Brings runners to the newest weights while this VM holds the order lease.
class WeightsDriver {
public:
    WeightsDriver(asio::any_io_executor executor, const Clock& clock, const RunnerQueries& runners,
        RunnerCommands& runnerCommands, OrderLease& lease, WeightsClient& client, TimelineCommands& timeline, VmId vm,
        WeightsDriverOptions options);

    /// Compares wanted and reported weights for the life of the process.
    Task<> run();

    /// Sets what is called when the set of loading runners changes.
    void onLoadingChanged(std::function<void()> handler) { m_onLoadingChanged = std::move(handler); }

    /// Runners that load or are about to, by hash of id.
    const std::set<std::uint64_t>& loading() const { return m_loading; }
    /// Weights that runners have loaded lately. The entries of the runners tell the same up to a heartbeat later.
    std::vector<LoadedWeights> loaded() const;

private:
    struct PendingLoad {
        RunnerEntry runner;
        std::string model;
        WeightsVersion current = 0;
        WeightsVersion version = 0;
    };

    struct Loaded {
        LoadedWeights weights;
        MonotonicTime at { 0 };
    };

    /// Loads that are due, the oldest weights first.
    std::vector<PendingLoad> pendingLoads(std::size_t& runnerCount) const;
    Task<> load(PendingLoad pending);
    Task<> drain(const PendingLoad& pending);
    Task<bool> order(const PendingLoad& pending);
    void publishLoading();
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
    /// Runners whose last order failed; they come after the others.
    std::set<std::uint64_t> m_failed;
    std::vector<Loaded> m_loaded;
    std::function<void()> m_onLoadingChanged;
};

} // namespace Pollenwind
