#include "Common/ShortText.h"
#include "Gateway/RunnerTable.h"

#include <algorithm>

// The runners that may take a request. Each decision reads all runners of a service, so what they have in common is
// determined once, and a candidate refers to its runner's entry.

namespace Pollenwind {

namespace {

    // Entries that expired while the store was unavailable are back within about 2 s of its return. Until then such a
    // runner is used if there is no other, but not long enough to violate the drain limit of a runner that did stop.
    constexpr std::chrono::milliseconds expiredEntryGrace { 1500 };

} // namespace

/// What a request for candidates asks for, and values that are the same for many runners.
struct RunnerTable::CandidateQuery {
    /// The permission of requests in one zone.
    struct Zone {
        const ZoneId* id = nullptr;
        bool isPermitted = false;
    };

    const std::string& model;
    const VersionRule& versions;
    const HomeRegions& home;
    MonotonicTime now { 0 };
    std::span<const TargetVersion> targets;
    /// The weights for which `beginBy` was determined last. Few versions are in use at a time.
    std::optional<WeightsVersion> weights = {};
    std::optional<MonotonicTime> beginBy = {};
    /// Zones that were checked before.
    std::vector<Zone> zones = {};
};

std::span<const RunnerTable::TargetVersion> RunnerTable::targetVersionsOf(const std::string& model) const
{
    const auto it = m_targetVersions.find(model);
    return it == m_targetVersions.end() ? std::span<const TargetVersion>() : it->second;
}

WeightsVersion RunnerTable::oldestAllowedWeights(std::span<const TargetVersion> targets, MonotonicTime now) const
{
    WeightsVersion oldest = 0;
    for (const auto& named : targets) {
        oldest = named.setAt <= now - m_options.maxOldWeightsTime ? named.version : oldest;
    }
    return oldest;
}

std::optional<MonotonicTime> RunnerTable::beginLimit(
    std::span<const TargetVersion> targets, WeightsVersion weights) const
{
    std::optional<MonotonicTime> limit;
    for (const auto& named : targets) {
        const auto end = named.setAt + m_options.maxOldWeightsTime + m_options.oldWeightsBeginTime;
        if (named.version > weights && (!limit || end < *limit)) {
            limit = end;
        }
    }
    return limit;
}

RunnerLoad RunnerTable::loadOf(const Runner& runner)
{
    auto load = runner.own;
    load.requests += static_cast<unsigned>(runner.reported.requests);
    load.urgentRequests += static_cast<unsigned>(runner.reported.urgentRequests);
    load.waitingTokens += static_cast<double>(runner.reported.waitingTokens) / ReportedWork::partsPerToken;
    load.yieldingTokens += static_cast<double>(runner.reported.yieldingTokens) / ReportedWork::partsPerToken;
    return load;
}

void RunnerTable::addToService(Runner& runner)
{
    auto& runners = m_runnersByService[runner.entry.service];
    const auto idOf = [](const Runner* it) -> const UpstreamId& { return it->entry.id; };
    runners.insert(std::ranges::lower_bound(runners, runner.entry.id, {}, idOf), &runner);
}

void RunnerTable::removeFromService(const Runner& runner)
{
    const auto it = m_runnersByService.find(runner.entry.service);
    std::erase(it->second, &runner);
    if (it->second.empty()) {
        m_runnersByService.erase(it);
    }
}

bool RunnerTable::isZonePermitted(const ZoneId& zone, CandidateQuery& query) const
{
    const auto known = std::ranges::find_if(
        query.zones, [&zone](const CandidateQuery::Zone& it) { return isEqualText(it.id->value(), zone.value()); });
    if (known != query.zones.end()) {
        return known->isPermitted;
    }
    const bool isEvacuated = m_restrictions.evacuations && m_restrictions.evacuations->isEvacuated(zone);
    query.zones.push_back({ &zone, !isEvacuated && query.home.permits(zone) });
    return query.zones.back().isPermitted;
}

RunnerCandidate& RunnerTable::addCandidate(
    std::vector<RunnerCandidate>& candidates, const Runner& runner, CandidateQuery& query) const
{
    const auto& entry = runner.entry;
    // A runner has weights of few models, so that a comparison with each is faster than a search.
    const auto reported
        = std::ranges::find_if(entry.weights, [&](const auto& it) { return isEqualText(it.first, query.model); });
    const auto weights = runner.failureState.inferredWeights(
        query.model, reported == entry.weights.end() ? WeightsVersion(0) : reported->second, query.now);
    if (query.weights != weights) {
        query.weights = weights;
        query.beginBy = beginLimit(query.targets, weights);
    }
    runner.breaker.refresh();
    auto& candidate = candidates.emplace_back();
    candidate.id.borrow(entry.id);
    candidate.endpoint.borrow(entry.endpoint);
    candidate.zone.borrow(entry.zone);
    candidate.incarnation = entry.incarnation;
    candidate.slots = entry.slots;
    candidate.software.borrow(entry.software);
    candidate.weights = weights;
    candidate.beginBy = query.beginBy;
    candidate.load = loadOf(runner);
    candidate.admission = runner.breaker.admission();
    candidate.hash = runner.hash;
    candidate.process = runner.process;
    return candidate;
}

std::vector<RunnerCandidate> RunnerTable::candidates(
    const ServiceId& service, const std::string& model, const VersionRule& versions, const HomeRegions& home) const
{
    const auto now = m_clock.now();
    CandidateQuery query { model, versions, home, now, targetVersionsOf(model) };
    const auto oldest = oldestAllowedWeights(query.targets, now);
    std::vector<RunnerCandidate> preferred;
    std::vector<RunnerCandidate> fallback;
    std::vector<RunnerCandidate> restricted;
    bool hasRestricted = false;
    const auto runners = m_runnersByService.find(service);
    if (runners == m_runnersByService.end()) {
        return preferred;
    }
    const auto rule = coldRule(service);
    const bool hasZoneLimits = m_restrictions.evacuations || home.isRestricted();
    const bool hasRestrictions = rule.requestsPerSecond > 0 || m_restrictions.evacuations;
    // The runners of a service seldom have more than one version of the software.
    const VersionId* checkedSoftware = nullptr;
    bool isPermittedSoftware = false;
    bool isNewSoftware = false;
    preferred.reserve(runners->second.size());
    for (const auto* it : runners->second) {
        const auto& runner = *it;
        if (!checkedSoftware || !isEqualText(checkedSoftware->value(), runner.entry.software.value())) {
            checkedSoftware = &runner.entry.software;
            isPermittedSoftware = versions.permits(runner.entry.software);
            isNewSoftware = m_versions.isNew(service, runner.entry.software, now);
        }
        const auto state = runner.isOverdue(now) && runner.entry.state == RunnerState::Ready ? RunnerState::Gone
                                                                                             : runner.entry.state;
        const auto endedAt = runner.isOverdue(now) ? runner.endsAt : runner.endedAt;
        const bool isExpired = state == RunnerState::Gone && now - endedAt < expiredEntryGrace;
        if (!isPermittedSoftware || runner.failureState.isReplaced() || !runner.failureState.backOff().admits(now)
            || (state != RunnerState::Ready && !isExpired)
            || (hasZoneLimits && !isZonePermitted(runner.entry.zone, query))) {
            continue;
        }
        // Set where most belong, so that few are moved.
        auto& candidate = addCandidate(preferred, runner, query);
        if (!model.empty() && candidate.weights < oldest) {
            preferred.pop_back();
            continue;
        }
        if (const auto restriction = hasRestrictions ? restrictionOf(runner, rule) : std::nullopt) {
            hasRestricted = true;
            candidate.isCold = restriction->rate > 0;
            if (timeUntilAllowed(runner, *restriction).count() == 0) {
                restricted.push_back(std::move(candidate));
            }
            preferred.pop_back();
            continue;
        }
        const bool isPreferred = !isExpired && candidate.admission > 0 && !runner.failureState.isSuspect(now)
            && (m_loading.empty() || !isLoading(runner.hash)) && !m_leaving.isReported(runner.process)
            && !isNewSoftware;
        if (!isPreferred) {
            fallback.push_back(std::move(candidate));
            preferred.pop_back();
        }
    }
    if (!preferred.empty()) {
        return preferred;
    }
    if (!hasRestricted) {
        return fallback;
    }
    // A warm runner that is only avoided comes before a cold one. One that no request gets through to does not.
    auto usable = fallback;
    std::erase_if(usable, [](const RunnerCandidate& it) { return it.admission <= 0; });
    return !usable.empty() ? usable : !restricted.empty() ? restricted : fallback;
}

} // namespace Pollenwind
