#include "Gateway/WeightsDriver.h"

#include "Common/Sleep.h"
#include "Common/TaskFault.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    constexpr std::chrono::milliseconds checkInterval { 200 };
    constexpr std::chrono::milliseconds drainPollInterval { 60 };

    // Two reports contain each load, so that one lost datagram does not keep the runner out of use.
    constexpr std::chrono::milliseconds loadReportTime { 600 };

    WeightsVersion weightsOf(const RunnerEntry& runner, const std::string& model)
    {
        const auto it = runner.weights.find(model);
        return it == runner.weights.end() ? 0 : it->second;
    }

} // namespace

WeightsDriver::WeightsDriver(asio::any_io_executor executor, const Clock& clock, const RunnerQueries& runners,
    RunnerCommands& runnerCommands, OrderLease& lease, WeightsClient& client, TimelineCommands& timeline, VmId vm,
    WeightsDriverOptions options)
    : m_executor(std::move(executor))
    , m_clock(clock)
    , m_runners(runners)
    , m_runnerCommands(runnerCommands)
    , m_lease(lease)
    , m_client(client)
    , m_timeline(timeline)
    , m_vm(std::move(vm))
    , m_options(options)
{
}

std::vector<WeightsDriver::PendingLoad> WeightsDriver::pendingLoads(std::size_t& runnerCount) const
{
    std::vector<PendingLoad> pending;
    runnerCount = 0;
    for (const auto& runner : m_runners.entries()) {
        for (const auto& [model, version] : m_runners.targetWeights()) {
            const auto current = weightsOf(runner, model);
            if (current == 0 || runner.state != RunnerState::Ready) {
                continue;
            }
            ++runnerCount;
            if (current < version) {
                pending.push_back({ runner, model, current, version });
            }
        }
    }
    // A runner that is down must not delay the loads of the others until its entry expires.
    std::ranges::sort(pending, {},
        [this](const PendingLoad& it) { return std::pair(m_failed.contains(runnerHash(it.runner.id)), it.current); });
    return pending;
}

Task<> WeightsDriver::run()
{
    for (;;) {
        co_await sleepFor(checkInterval);
        if (!m_lease.isHeld()) {
            continue;
        }
        std::size_t runnerCount = 0;
        const auto pending = pendingLoads(runnerCount);
        if (pending.empty()) {
            m_failed.clear();
            m_badReports.clear();
            if (m_loading.empty()) {
                co_await m_lease.endOrders();
            }
            continue;
        }
        if (!m_lease.mayOrderWithin(m_options.drainTime) || !co_await m_lease.beginOrders()) {
            continue;
        }
        const auto limit = static_cast<std::size_t>(
            std::max(1.0, std::ceil(m_options.concurrentShare * static_cast<double>(runnerCount))));
        for (const auto& it : pending) {
            if (m_loading.size() >= limit) {
                break;
            }
            const auto hash = runnerHash(it.runner.id);
            if (!isAvoided(hash) && m_loading.insert(hash).second) {
                spawnTask(m_executor, TaskKind::Orders, load(it));
            }
        }
        publishLoading();
    }
}

void WeightsDriver::publishLoading()
{
    m_runnerCommands.setLoadingRunners(m_vm, m_loading);
    if (m_onLoadingChanged) {
        m_onLoadingChanged();
    }
}

Task<> WeightsDriver::load(PendingLoad pending)
{
    const auto hash = runnerHash(pending.runner.id);
    if (!co_await withoutExceptions(TaskKind::Orders, tryLoad(pending))) {
        m_failed.insert(hash);
    }
    m_loading.erase(hash);
    publishLoading();
}

Task<> WeightsDriver::tryLoad(const PendingLoad& pending)
{
    co_await drain(pending);
    const auto hash = runnerHash(pending.runner.id);
    if (co_await order(pending)) {
        m_failed.erase(hash);
        co_await waitUntilLoaded(pending);
    } else {
        m_failed.insert(hash);
    }
}

Task<> WeightsDriver::drain(const PendingLoad& pending)
{
    co_await sleepFor(m_options.announceTime);
    const auto limit = m_clock.now() + m_options.drainTime;
    while (m_clock.now() < limit && m_runners.requestsAt(pending.runner.id) > 0) {
        co_await sleepFor(drainPollInterval);
    }
    while (m_lease.isHeld() && !m_lease.mayOrderWithin({})) {
        co_await sleepFor(drainPollInterval);
    }
}

bool WeightsDriver::recordLeaving(const PendingLoad& pending, const RunnerReport& report)
{
    const auto& runner = pending.runner;
    if (!report.isLeaving || report.incarnation != runner.incarnation) {
        return false;
    }
    m_runnerCommands.recordLeaving(runner.id, runner.incarnation, LeavingSource::RunnerReport, {});
    return true;
}

bool WeightsDriver::isAvoided(std::uint64_t runner) const
{
    const auto it = m_badReports.find(runner);
    return it != m_badReports.end() && m_clock.now() < it->second.until;
}

Task<Outcome<RunnerReport>> WeightsDriver::askReport(const UpstreamId& runner, const Endpoint& endpoint)
{
    auto report = co_await m_client.report(endpoint, m_options.callTimeout);
    const auto hash = runnerHash(runner);
    if (report) {
        m_badReports.erase(hash);
    } else if (report.error().code == ErrorCode::ProtocolError
        || (report.error().code == ErrorCode::Overloaded && report.error().runState != RunState::NotRun)) {
        // Reading such a report takes memory and time, and the next one is likely to be the same.
        auto& bad = m_badReports[hash];
        bad.pause = std::clamp(2 * bad.pause, m_options.badReportPause, m_options.maxBadReportPause);
        bad.until = m_clock.now() + bad.pause;
    }
    co_return report;
}

Task<bool> WeightsDriver::order(const PendingLoad& pending)
{
    const auto report = co_await askReport(pending.runner.id, pending.runner.endpoint);
    if (!report) {
        m_timeline.record(
            EventKind::MoveStep, { { "runner", pending.runner.id.value() }, { "cause", report.error().message } });
        co_return false;
    }
    if (recordLeaving(pending, *report)) {
        co_return false;
    }
    const auto current = report->weights.find(pending.model);
    if (report->isBusy || (current != report->weights.end() && current->second >= pending.version)) {
        co_return true;
    }
    // The lease may have been lost while this task waited for the report, and acquired again, also in another era of
    // the store, which may not have the record of the orders.
    if (!m_lease.mayOrder() || !co_await m_lease.beginOrders() || !m_lease.mayOrder()) {
        co_return false;
    }
    const WeightsOrder order { pending.runner.id, pending.runner.endpoint, pending.model, pending.version, m_vm,
        m_lease.fencingToken(), report->orders };
    m_lease.recordOrder();
    const auto accepted = co_await m_client.load(order, m_options.callTimeout);
    m_lease.recordOrder();
    m_timeline.record(EventKind::MoveStep,
        { { "runner", pending.runner.id.value() }, { "model", pending.model },
            { "weights", std::to_string(pending.version) }, { "token", std::to_string(order.fencingToken) },
            { "outcome", accepted ? "accepted" : accepted.error().message } });
    // An order without a response may have been accepted.
    co_return accepted || accepted.error().runState == RunState::Unknown;
}

void WeightsDriver::recordLoaded(const PendingLoad& pending, WeightsVersion version)
{
    const LoadedWeights weights { runnerHash(pending.runner.id), modelHash(pending.model), version };
    m_runnerCommands.recordLoadedWeights({ &weights, 1 });
    std::erase_if(m_loaded, [now = m_clock.now()](const Loaded& it) { return now - it.at > loadReportTime; });
    m_loaded.push_back({ weights, m_clock.now() });
}

std::vector<LoadedWeights> WeightsDriver::loaded() const
{
    std::vector<LoadedWeights> list;
    for (const auto& it : m_loaded) {
        if (m_clock.now() - it.at <= loadReportTime) {
            list.push_back(it.weights);
        }
    }
    return list;
}

Task<> WeightsDriver::waitUntilLoaded(const PendingLoad& pending)
{
    const auto limit = m_clock.now() + m_options.loadTimeout;
    unsigned idleReports = 0;
    while (m_clock.now() < limit && m_lease.isHeld()) {
        co_await sleepFor(m_options.pollInterval);
        auto entry = m_runners.find(pending.runner.id);
        if (!entry || entry->state != RunnerState::Ready || entry->incarnation != pending.runner.incarnation
            || weightsOf(*entry, pending.model) >= pending.version) {
            co_return;
        }
        if (isAvoided(runnerHash(pending.runner.id))) {
            continue;
        }
        const auto report = co_await askReport(pending.runner.id, pending.runner.endpoint);
        if (!report) {
            continue;
        }
        if (recordLeaving(pending, *report)) {
            co_return;
        }
        const auto current = report->weights.find(pending.model);
        if (current != report->weights.end() && current->second >= pending.version) {
            recordLoaded(pending, current->second);
            co_return;
        }
        // The order was lost if the runner stays idle. Reports lag by some hundred milliseconds.
        idleReports = report->isBusy ? 0 : idleReports + 1;
        if (idleReports >= 3) {
            co_return;
        }
    }
}

} // namespace Pollenwind
