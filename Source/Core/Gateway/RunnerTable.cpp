#include "Gateway/RunnerTable.h"

#include "Gateway/Queries/PrefixQueries.h"
#include "Store/StorePosition.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    // Runners write their entries again within about 2 s of the store's return; one that is missing after that time
    // counts as gone.
    constexpr std::chrono::milliseconds restoredEntryGrace { 2000 };

    // Versions before one that was read whose age is asked for. Weights take a second to load, so that runners hardly
    // ever are further behind.
    constexpr WeightsVersion maxSkippedTargets = 8;

    // Time to keep a runner whose entry has ended, so that running requests can record their end.
    constexpr std::chrono::seconds goneRunnerRetention { 60 };

    // The clean-up visits all runners. A read of the store may add thousands of them at once.
    constexpr std::chrono::seconds cleanupInterval { 1 };

    // Single failures often depend on the request, so only consecutive failures open the breaker.
    constexpr BreakerOptions breakerOptions { .failuresToOpen = 3,
        .openTime = std::chrono::milliseconds(700),
        .longestOpenTime = std::chrono::seconds(4),
        .slowStartTime = std::chrono::milliseconds(500) };

    // Far above what a runner can have. A faulty report must not hide the work of others for longer than it counts.
    constexpr unsigned maxReportedRequests = 100'000;
    constexpr double maxReportedTokens = 1e9;

    /// A VM's reported work within the bounds of what it can be.
    RunnerLoad plausible(RunnerLoad load)
    {
        const auto bounded = [](double tokens) { return tokens > 0 ? std::min(tokens, maxReportedTokens) : 0.0; };
        load.requests = std::min(load.requests, maxReportedRequests);
        load.urgentRequests = std::min(load.urgentRequests, load.requests);
        load.waitingTokens = bounded(load.waitingTokens);
        load.yieldingTokens = std::min(bounded(load.yieldingTokens), load.waitingTokens);
        return load;
    }

    void removeWaiting(RunnerLoad& load, double tokens, RouteUrgency urgency)
    {
        load.waitingTokens = std::max(0.0, load.waitingTokens - tokens);
        if (urgency == RouteUrgency::Yielding) {
            load.yieldingTokens = std::max(0.0, load.yieldingTokens - tokens);
        }
    }

} // namespace

std::uint64_t runnerHash(const UpstreamId& runner) { return XXH3_64bits(runner.value().data(), runner.value().size()); }

std::uint64_t modelHash(const std::string& model) { return XXH3_64bits(model.data(), model.size()); }

RunnerTable::RunnerTable(
    const Clock& clock, TimelineCommands& timeline, RunnerTableOptions options, RunnerRestrictions restrictions)
    : m_clock(clock)
    , m_timeline(timeline)
    , m_options(options)
    , m_restrictions(restrictions)
    , m_leaving(clock)
{
}

void RunnerTable::updateEntry(RunnerEntry entry)
{
    const auto id = entry.id;
    if (const auto known = m_runners.find(id); known != m_runners.end() && isOfAnotherWriter(known->second, entry)) {
        if (known->second.entry.state != RunnerState::Gone) {
            endEntry(known->second, m_clock.now(), "another-writer");
        }
        return;
    }
    applyAnnouncement(entry);
    const auto process = holderHash(id, entry.incarnation);
    m_versions.record(entry.service, entry.software, m_clock.now());
    const auto it = m_runners.find(id);
    if (it == m_runners.end()) {
        m_timeline.record(EventKind::UpstreamIncarnation,
            { { "runner", id.value() }, { "service", entry.service.value() }, { "endpoint", entry.endpoint.toString() },
                { "software", entry.software.value() }, { "state", std::string(nameOf(entry.state)) } });
        const auto hash = runnerHash(id);
        auto& added
            = m_runners
                  .emplace(id,
                      Runner { std::move(entry), hash, process, {}, {}, {}, CircuitBreaker(m_clock, breakerOptions) })
                  .first->second;
        m_runnersByHash[hash] = &added;
        addToService(added);
        for (const auto& [vm, loads] : m_remoteLoads) {
            if (const auto load = loads.find(hash); load != loads.end()) {
                added.reported.add(load->second, 1);
            }
        }
        added.coldState.recordEntry(added.entry, m_clock.now(), m_clock.wallNow(), true, false);
        if (m_clock.now() >= m_nextCleanupAt) {
            removeGoneRunners();
        }
        return;
    }
    auto& runner = it->second;
    const bool isReplacement = runner.entry.incarnation != entry.incarnation;
    runner.coldState.recordEntry(entry, m_clock.now(), m_clock.wallNow(), isReplacement, isReplacement);
    if (runner.entry.incarnation != entry.incarnation || runner.entry.endpoint != entry.endpoint) {
        runner.breaker.recordRestart();
        runner.own = {};
        runner.failureState = {};
        m_timeline.record(
            EventKind::UpstreamIncarnation, { { "runner", id.value() }, { "endpoint", entry.endpoint.toString() } });
    }
    if (entry.state == RunnerState::Draining && runner.entry.state == RunnerState::Ready) {
        m_timeline.record(EventKind::UpstreamLeaving, { { "runner", id.value() } });
    }
    if (runner.entry.incarnation == entry.incarnation && runner.entry.state == RunnerState::Draining) {
        // A runner that announced its shutdown does not become ready again in the same incarnation.
        entry.state = RunnerState::Draining;
    }
    if (runner.entry.incarnation == entry.incarnation) {
        // The entry may have been written before a load that another VM has already reported.
        for (const auto& [model, version] : runner.entry.weights) {
            if (const auto known = entry.weights.find(model); known != entry.weights.end()) {
                known->second = std::max(known->second, version);
            }
        }
    }
    if (runner.entry.weights != entry.weights) {
        runner.failureState.onWeightsReported();
    }
    if (runner.entry.service != entry.service) {
        removeFromService(runner);
        runner.entry.service = entry.service;
        addToService(runner);
    }
    runner.entry = std::move(entry);
    runner.process = process;
    runner.endsAt = MonotonicTime(0);
}

void RunnerTable::markEntryEnded(const UpstreamId& runner)
{
    const auto it = m_runners.find(runner);
    if (it != m_runners.end() && it->second.entry.state != RunnerState::Gone) {
        endEntry(it->second, m_clock.now());
    }
}

bool RunnerTable::isOfAnotherWriter(const Runner& known, const RunnerEntry& entry)
{
    return known.entry.incarnation.value() > 0 && entry.incarnation.value() == 0;
}

void RunnerTable::endEntry(Runner& runner, MonotonicTime at, std::string_view how)
{
    const bool wasDraining = runner.entry.state == RunnerState::Draining;
    runner.entry.state = RunnerState::Gone;
    runner.endedAt = wasDraining ? MonotonicTime(0) : at;
    runner.endsAt = MonotonicTime(0);
    m_timeline.record(
        EventKind::UpstreamLeaving, { { "runner", runner.entry.id.value() }, { "entry", std::string(how) } });
}

bool RunnerTable::isOldCopy(const Runner& known, const RunnerEntry& entry)
{
    // A copy shows the last entry that this VM knew, or one before it.
    if (entry.revision == 0
        || StorePosition::revisionOf(entry.revision) > StorePosition::revisionOf(known.entry.revision)) {
        return false;
    }
    return known.entry.state == RunnerState::Gone ? entry.incarnation <= known.entry.incarnation
                                                  : entry.incarnation < known.entry.incarnation;
}

std::set<UpstreamId> RunnerTable::updateListed(std::vector<RunnerEntry> entries)
{
    std::set<UpstreamId> listed;
    for (auto& entry : entries) {
        if (const auto it = m_runners.find(entry.id); it == m_runners.end() || !isOldCopy(it->second, entry)) {
            listed.insert(entry.id);
            updateEntry(std::move(entry));
        }
    }
    return listed;
}

void RunnerTable::replaceEntries(std::vector<RunnerEntry> entries)
{
    const auto listed = updateListed(std::move(entries));
    for (const auto& [id, runner] : m_runners) {
        if (!listed.contains(id) && !runner.isAwaited(m_clock.now())) {
            markEntryEnded(id);
        }
    }
}

std::size_t RunnerTable::restoreEntries(std::vector<RunnerEntry> entries)
{
    const auto listed = updateListed(std::move(entries));
    std::size_t missing = 0;
    for (auto& [id, runner] : m_runners) {
        if (!listed.contains(id) && runner.entry.state != RunnerState::Gone) {
            runner.endsAt = m_clock.now() + restoredEntryGrace;
            ++missing;
        }
    }
    return missing;
}

void RunnerTable::endMissingEntries()
{
    for (auto& [id, runner] : m_runners) {
        if (runner.isOverdue(m_clock.now())) {
            endEntry(runner, runner.endsAt);
            // The copy lacks the entry, so one that is read later has been written since.
            runner.entry.revision = 0;
        }
    }
}

void RunnerTable::removeGoneRunners()
{
    const auto now = m_clock.now();
    m_nextCleanupAt = now + cleanupInterval;
    std::erase_if(m_runners, [this, now](const auto& it) {
        const bool isRemoved = it.second.entry.state == RunnerState::Gone && it.second.own.requests == 0
            && now - it.second.endedAt > goneRunnerRetention;
        if (isRemoved) {
            m_runnersByHash.erase(it.second.hash);
            removeFromService(it.second);
        }
        return isRemoved;
    });
    std::set<std::pair<ServiceId, VersionId>> versions;
    for (const auto& [id, runner] : m_runners) {
        versions.emplace(runner.entry.service, runner.entry.software);
    }
    m_versions.retain(versions);
}

void RunnerTable::setTargetWeights(
    const std::string& model, WeightsVersion version, MonotonicTime setAfter, ChangeSource source)
{
    auto& target = m_targetWeights[model];
    if (version > target) {
        auto& named = m_targetVersions[model];
        if (source == ChangeSource::Read) {
            // Versions that were set since the last known one have limits of their own.
            for (auto skipped = std::max(target + 1, version - maxSkippedTargets); skipped < version; ++skipped) {
                named.push_back({ skipped, setAfter, false });
            }
        }
        target = version;
        named.push_back({ version, setAfter, source == ChangeSource::Event });
        m_timeline.record(EventKind::MoveOrdered, { { "model", model }, { "weights", std::to_string(version) } });
    }
}

void RunnerTable::setTargetWeightsAge(std::uint64_t hash, WeightsVersion version, std::chrono::nanoseconds age)
{
    for (auto& [model, named] : m_targetVersions) {
        if (modelHash(model) != hash) {
            continue;
        }
        for (auto& it : named) {
            if (it.version == version) {
                const auto reported = m_clock.now() - age;
                it.setAt = it.isAgeKnown ? std::min(it.setAt, reported) : reported;
                it.isAgeKnown = true;
            }
        }
    }
}

void RunnerTable::recordLoadedWeights(std::span<const LoadedWeights> loaded)
{
    for (const auto& it : loaded) {
        const auto runner
            = std::ranges::find_if(m_runners, [&it](const auto& known) { return known.second.hash == it.runner; });
        if (runner == m_runners.end()) {
            continue;
        }
        for (auto& [model, version] : runner->second.entry.weights) {
            if (modelHash(model) == it.model && version < it.version) {
                version = it.version;
                runner->second.failureState.onWeightsReported();
            }
        }
    }
}

void RunnerTable::onWeightsMismatch(const UpstreamId& runner, const std::string& model, WeightsVersion expected)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        const auto target = m_targetWeights.find(model);
        it->second.failureState.onWeightsMismatch(
            model, expected, target == m_targetWeights.end() ? 0 : target->second, m_clock.now());
    }
}

std::vector<TargetWeightsAge> RunnerTable::targetWeightsAges() const
{
    const auto now = m_clock.now();
    std::vector<TargetWeightsAge> ages;
    for (const auto& [model, named] : m_targetVersions) {
        for (const auto& it : named) {
            // A target of unknown age counts as old, so older ones need no report.
            if (it.isAgeKnown && now - it.setAt <= m_options.maxOldWeightsTime) {
                ages.push_back(
                    { modelHash(model), it.version, std::chrono::ceil<std::chrono::milliseconds>(now - it.setAt) });
            }
        }
    }
    return ages;
}

void RunnerTable::recordRefusal(const UpstreamId& runner, std::chrono::nanoseconds avoidTime)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        it->second.failureState.recordRefusal(m_clock.now() + avoidTime);
    }
}

void RunnerTable::recordSent(const UpstreamId& runner, double tokens, RouteUrgency urgency)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        auto& own = it->second.own;
        ++own.requests;
        own.waitingTokens += tokens;
        if (urgency == RouteUrgency::Urgent) {
            ++own.urgentRequests;
        } else {
            own.yieldingTokens += tokens;
        }
        it->second.breaker.recordStarted();
        const auto restriction = restrictionOf(it->second, coldRule(it->second.entry.service));
        if (restriction && restriction->rate > 0) {
            m_restrictions.coldLimit->take(
                it->second.process, restriction->rate, restriction->since + connectAllowance);
        }
    }
}

void RunnerTable::recordFirstOutput(const UpstreamId& runner, double tokens, RouteUrgency urgency)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        removeWaiting(it->second.own, tokens, urgency);
    }
}

void RunnerTable::recordConnectFailure(const UpstreamId& runner)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        it->second.failureState.recordConnectFailure(m_clock.now());
        it->second.coldState.recordDoubt(m_clock.now());
    }
}

void RunnerTable::markReplaced(const UpstreamId& runner)
{
    const auto it = m_runners.find(runner);
    if (it != m_runners.end() && it->second.failureState.markReplaced(m_clock.now())) {
        m_timeline.record(EventKind::UpstreamLeaving, { { "runner", runner.value() }, { "entry", "replaced" } });
    }
}

void RunnerTable::recordRemoteFailures(const VmId& vm, const RunnerFailures& failures)
{
    if (failures.isEmpty()) {
        return;
    }
    recordReportedLeaving(vm, failures.leaving);
    for (auto& [id, runner] : m_runners) {
        if (std::ranges::find(failures.unreachable, runner.hash) != failures.unreachable.end()) {
            runner.failureState.recordRemoteConnectFailure(vm, m_clock.now());
            if (runner.failureState.isSuspect(m_clock.now())) {
                runner.coldState.recordDoubt(m_clock.now());
            }
        }
        if (std::ranges::find(failures.replaced, runner.process) != failures.replaced.end()) {
            markReplaced(id);
        }
    }
}

RunnerFailures RunnerTable::recentFailures() const
{
    const auto now = m_clock.now();
    RunnerFailures failures;
    failures.leaving = m_leaving.recent();
    for (const auto& [id, runner] : m_runners) {
        if (runner.failureState.hasRecentConnectFailure(now)) {
            failures.unreachable.push_back(runner.hash);
        }
        if (runner.failureState.wasRecentlyReplaced(now)) {
            failures.replaced.push_back(runner.process);
        }
    }
    return failures;
}

void RunnerTable::recordEnded(const UpstreamId& runner, double waitingTokens, RunnerResult result, RouteUrgency urgency)
{
    const auto it = m_runners.find(runner);
    if (it == m_runners.end()) {
        return;
    }
    auto& own = it->second.own;
    own.requests -= std::min(1U, own.requests);
    if (urgency == RouteUrgency::Urgent) {
        own.urgentRequests -= std::min(1U, own.urgentRequests);
    }
    removeWaiting(own, waitingTokens, urgency);
    const auto before = it->second.breaker.state();
    switch (result) {
    case RunnerResult::Succeeded:
        it->second.breaker.recordSuccess();
        break;
    case RunnerResult::Failed:
        it->second.breaker.recordFailure();
        break;
    case RunnerResult::Refused:
    case RunnerResult::Abandoned:
        it->second.breaker.recordAbandoned();
        break;
    }
    const auto after = it->second.breaker.state();
    if (after != before && (after == BreakerState::Open || after == BreakerState::Closed)) {
        m_timeline.record(after == BreakerState::Open ? EventKind::BreakerOpened : EventKind::BreakerClosed,
            { { "runner", runner.value() }, { "result", std::string(nameOf(result)) } });
    }
}

void RunnerTable::ReportedWork::add(const RunnerLoad& load, int sign)
{
    const auto parts = [](double tokens) { return std::llround(tokens * partsPerToken); };
    requests += sign * static_cast<std::int64_t>(load.requests);
    urgentRequests += sign * static_cast<std::int64_t>(load.urgentRequests);
    waitingTokens += sign * parts(load.waitingTokens);
    yieldingTokens += sign * parts(load.yieldingTokens);
}

void RunnerTable::addReported(const std::map<std::uint64_t, RunnerLoad>& loads, int sign)
{
    for (const auto& [hash, load] : loads) {
        if (const auto it = m_runnersByHash.find(hash); it != m_runnersByHash.end()) {
            it->second->reported.add(load, sign);
        }
    }
}

void RunnerTable::setRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads)
{
    for (auto& [hash, load] : loads) {
        load = plausible(load);
    }
    auto& known = m_remoteLoads[vm];
    addReported(known, -1);
    known = std::move(loads);
    addReported(known, 1);
}

void RunnerTable::clearRemoteLoad(const VmId& vm)
{
    if (const auto it = m_remoteLoads.find(vm); it != m_remoteLoads.end()) {
        addReported(it->second, -1);
        m_remoteLoads.erase(it);
    }
    m_loading.erase(vm);
}

std::map<std::uint64_t, RunnerLoad> RunnerTable::sumOfLoads(std::span<const VmId> vms) const
{
    auto sums = ownLoads();
    for (const auto& vm : vms) {
        const auto loads = m_remoteLoads.find(vm);
        if (loads == m_remoteLoads.end()) {
            continue;
        }
        for (const auto& [hash, load] : loads->second) {
            auto& sum = sums[hash];
            sum.requests += load.requests;
            sum.waitingTokens += load.waitingTokens;
            sum.urgentRequests += load.urgentRequests;
            sum.yieldingTokens += load.yieldingTokens;
        }
    }
    return sums;
}

void RunnerTable::setLoadingRunners(const VmId& vm, std::set<std::uint64_t> runners)
{
    if (runners.empty()) {
        m_loading.erase(vm);
    } else {
        m_loading[vm] = std::move(runners);
    }
}

bool RunnerTable::isLoading(std::uint64_t hash) const
{
    return std::ranges::any_of(m_loading, [hash](const auto& it) { return it.second.contains(hash); });
}

unsigned RunnerTable::requestsAt(const UpstreamId& runner) const
{
    const auto it = m_runners.find(runner);
    return it == m_runners.end() ? 0 : loadOf(it->second).requests;
}

std::optional<RunnerEntry> RunnerTable::find(const UpstreamId& runner) const
{
    const auto it = m_runners.find(runner);
    return it == m_runners.end() ? std::nullopt : std::optional(it->second.entry);
}

std::vector<RunnerEntry> RunnerTable::entries() const
{
    std::vector<RunnerEntry> list;
    for (const auto& [id, runner] : m_runners) {
        if (runner.entry.state != RunnerState::Gone && !runner.failureState.isReplaced()) {
            list.push_back(runner.entry);
        }
    }
    return list;
}

std::map<std::uint64_t, RunnerLoad> RunnerTable::ownLoads() const
{
    std::map<std::uint64_t, RunnerLoad> loads;
    for (const auto& [id, runner] : m_runners) {
        if (runner.own.requests > 0) {
            loads.emplace(runner.hash, runner.own);
        }
    }
    return loads;
}

} // namespace Pollenwind
