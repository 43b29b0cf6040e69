#include "Gateway/RunnerTable.h"

#include "Gateway/Queries/PrefixQueries.h"
#include "Store/StorePosition.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    // Entries that expired while the store was unavailable are back within about 2 s of its return. Until then such a
    // runner is used if there is no other, but not long enough to violate the drain limit of a runner that did stop.
    constexpr std::chrono::milliseconds expiredEntryGrace { 1500 };

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

RunnerTable::RunnerTable(const Clock& clock, TimelineCommands& timeline, RunnerTableOptions options)
    : m_clock(clock)
    , m_timeline(timeline)
    , m_options(options)
    , m_leaving(clock)
{
}

void RunnerTable::updateEntry(RunnerEntry entry)
{
    const auto id = entry.id;
    applyAnnouncement(entry);
    const auto process = holderHash(id, entry.incarnation);
    m_versions.record(entry.service, entry.software, m_clock.now());
    const auto it = m_runners.find(id);
    if (it == m_runners.end()) {
        m_timeline.record(EventKind::UpstreamIncarnation,
            { { "runner", id.value() }, { "service", entry.service.value() }, { "endpoint", entry.endpoint.toString() },
                { "software", entry.software.value() }, { "state", std::string(nameOf(entry.state)) } });
        const auto hash = runnerHash(id);
        m_runners.emplace(
            id, Runner { std::move(entry), hash, process, {}, {}, CircuitBreaker(m_clock, breakerOptions) });
        if (m_clock.now() >= m_nextCleanupAt) {
            removeGoneRunners();
        }
        return;
    }
    auto& runner = it->second;
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

void RunnerTable::endEntry(Runner& runner, MonotonicTime at)
{
    const bool wasDraining = runner.entry.state == RunnerState::Draining;
    runner.entry.state = RunnerState::Gone;
    runner.endedAt = wasDraining ? MonotonicTime(0) : at;
    runner.endsAt = MonotonicTime(0);
    m_timeline.record(EventKind::UpstreamLeaving, { { "runner", runner.entry.id.value() }, { "entry", "ended" } });
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
    std::erase_if(m_runners, [now](const auto& it) {
        return it.second.entry.state == RunnerState::Gone && it.second.own.requests == 0
            && now - it.second.endedAt > goneRunnerRetention;
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

WeightsVersion RunnerTable::oldestAllowedWeights(const std::string& model) const
{
    const auto it = m_targetVersions.find(model);
    WeightsVersion oldest = 0;
    if (it != m_targetVersions.end()) {
        const auto limit = m_clock.now() - m_options.maxOldWeightsTime;
        for (const auto& named : it->second) {
            oldest = named.setAt <= limit ? named.version : oldest;
        }
    }
    return oldest;
}

std::optional<MonotonicTime> RunnerTable::beginLimit(const std::string& model, WeightsVersion weights) const
{
    std::optional<MonotonicTime> limit;
    if (const auto it = m_targetVersions.find(model); it != m_targetVersions.end()) {
        for (const auto& named : it->second) {
            const auto end = named.setAt + m_options.maxOldWeightsTime + m_options.oldWeightsBeginTime;
            if (named.version > weights && (!limit || end < *limit)) {
                limit = end;
            }
        }
    }
    return limit;
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

void RunnerTable::setRemoteLoad(const VmId& vm, std::map<std::uint64_t, RunnerLoad> loads)
{
    m_remoteLoads[vm] = std::move(loads);
}

void RunnerTable::clearRemoteLoad(const VmId& vm)
{
    m_remoteLoads.erase(vm);
    m_loading.erase(vm);
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

RunnerLoad RunnerTable::loadOf(const Runner& runner) const
{
    auto load = runner.own;
    for (const auto& [vm, loads] : m_remoteLoads) {
        if (const auto it = loads.find(runner.hash); it != loads.end()) {
            load.requests += it->second.requests;
            load.waitingTokens += it->second.waitingTokens;
            load.urgentRequests += it->second.urgentRequests;
            load.yieldingTokens += it->second.yieldingTokens;
        }
    }
    return load;
}

unsigned RunnerTable::requestsAt(const UpstreamId& runner) const
{
    const auto it = m_runners.find(runner);
    return it == m_runners.end() ? 0 : loadOf(it->second).requests;
}

RunnerCandidate RunnerTable::toCandidate(const Runner& runner, const std::string& model) const
{
    RunnerCandidate candidate;
    candidate.id = runner.entry.id;
    candidate.endpoint = runner.entry.endpoint;
    candidate.zone = runner.entry.zone;
    candidate.incarnation = runner.entry.incarnation;
    candidate.slots = runner.entry.slots;
    candidate.software = runner.entry.software;
    candidate.load = loadOf(runner);
    if (const auto it = runner.entry.weights.find(model); it != runner.entry.weights.end()) {
        candidate.weights = it->second;
    }
    candidate.weights = runner.failureState.inferredWeights(model, candidate.weights, m_clock.now());
    candidate.beginBy = beginLimit(model, candidate.weights);
    runner.breaker.refresh();
    candidate.admission = runner.breaker.admission();
    return candidate;
}

std::vector<RunnerCandidate> RunnerTable::candidates(
    const ServiceId& service, const std::string& model, const VersionRule& versions) const
{
    const auto oldest = oldestAllowedWeights(model);
    const auto now = m_clock.now();
    std::vector<RunnerCandidate> preferred;
    std::vector<RunnerCandidate> fallback;
    for (const auto& [id, runner] : m_runners) {
        const auto state = runner.isOverdue(now) && runner.entry.state == RunnerState::Ready ? RunnerState::Gone
                                                                                             : runner.entry.state;
        const auto endedAt = runner.isOverdue(now) ? runner.endsAt : runner.endedAt;
        const bool isExpired = state == RunnerState::Gone && now - endedAt < expiredEntryGrace;
        if (runner.entry.service != service || !versions.permits(runner.entry.software)
            || runner.failureState.isReplaced() || !runner.failureState.backOff().admits(now)
            || (state != RunnerState::Ready && !isExpired)) {
            continue;
        }
        auto candidate = toCandidate(runner, model);
        if (!model.empty() && candidate.weights < oldest) {
            continue;
        }
        const bool isPreferred = !isExpired && candidate.admission > 0 && !runner.failureState.isSuspect(now)
            && !isLoading(runner.hash) && !m_leaving.isReported(runner.process)
            && !m_versions.isNew(service, runner.entry.software, now);
        (isPreferred ? preferred : fallback).push_back(std::move(candidate));
    }
    return preferred.empty() ? fallback : preferred;
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
