#include "Gateway/RolloutTable.h"

#include "Common/HashFraction.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdio>

namespace Pollenwind {

namespace {

    // Time over which the rate of requests is measured.
    constexpr std::chrono::seconds rateWindow { 2 };

    // Time for which a verdict is reported to VMs that do not receive the store's changes.
    constexpr std::chrono::seconds verdictReportTime { 10 };

    // After a restore, time for the reports of the other VMs to arrive, also through a relay and if one is lost.
    constexpr std::chrono::seconds reportTime { 2 };

    // Time after a restore in which an order of the same content is the earlier one, written again.
    constexpr std::chrono::seconds rewriteTime { 10 };

    // Replaced orders of a service that are remembered, more than an operator gives in the age of a copy.
    constexpr std::size_t maxReplacedOrders = 8;

    bool hasSameContent(const RolloutOrder& a, const RolloutOrder& b)
    {
        return a.service == b.service && a.target == b.target && a.duration == b.duration;
    }

    // Share of the target version on a VM that does not receive the store's changes.
    constexpr double staleShare = 0.04;

    /// A number from 0 to 1 that all VMs derive from a request alike.
    double fractionOf(const RequestId& request)
    {
        const auto hash = XXH3_64bits(request.value().data(), request.value().size());
        return toFraction(hash);
    }

    std::string percent(double share)
    {
        std::array<char, 32> buf {};
        std::snprintf(buf.data(), buf.size(), "%.1f%%", 100 * share);
        return buf.data();
    }

    RampSettings rampSettings(double usedAllowance)
    {
        RampSettings settings;
        settings.usedAllowance = usedAllowance;
        return settings;
    }

} // namespace

RolloutTable::RolloutTable(
    const Clock& clock, TimelineCommands& timeline, MetricCommands& metrics, RolloutTableOptions options)
    : m_clock(clock)
    , m_timeline(timeline)
    , m_metrics(metrics)
    , m_options(options)
    , m_ramp(rampSettings(options.usedAllowance))
{
}

void RolloutTable::updateEra(std::int64_t position)
{
    if (!m_era.update(position)) {
        return;
    }
    m_restoredAt = m_clock.now();
    for (auto& [service, rollout] : m_rollouts) {
        rollout.reportUntil = m_restoredAt + verdictReportTime;
    }
}

bool RolloutTable::isSameOrder(const Rollout& rollout, const RolloutOrder& order) const
{
    if (rollout.positions.contains(order.revision)) {
        return true;
    }
    const auto latest = *rollout.positions.rbegin();
    if (order.revision < latest || !hasSameContent(rollout.order, order)) {
        return false;
    }
    if (m_era.isEarlier(latest)) {
        // The operator does not write an order again that it has withdrawn, but the copy may have it.
        return !rollout.isWithdrawn
            || std::ranges::any_of(rollout.positions, [number = StorePosition::revisionOf(order.revision)](auto it) {
                   return StorePosition::revisionOf(it) == number;
               });
    }
    const bool isOlder = m_era.isEarlier(*rollout.positions.begin()) || rollout.mayBeOlder;
    return isOlder && !rollout.isWithdrawn && m_clock.now() - m_restoredAt < rewriteTime;
}

bool RolloutTable::isReplaced(const RolloutOrder& order) const
{
    const auto replaced = m_replaced.find(order.service);
    return replaced != m_replaced.end()
        && std::ranges::any_of(replaced->second, [this, &order](const RolloutOrder& it) {
               return hasSameContent(it, order) && m_era.isEarlier(it.revision)
                   && StorePosition::revisionOf(it.revision) == StorePosition::revisionOf(order.revision);
           });
}

void RolloutTable::recordReplaced(const Rollout& rollout)
{
    auto& replaced = m_replaced[rollout.order.service];
    for (const auto position : rollout.positions) {
        replaced.push_back(rollout.order);
        replaced.back().revision = position;
    }
    while (replaced.size() > maxReplacedOrders) {
        replaced.pop_front();
    }
}

void RolloutTable::addPosition(Rollout& rollout, std::int64_t position)
{
    rollout.positions.insert(position);
    rollout.order.revision = *rollout.positions.begin();
}

void RolloutTable::adoptOrder(const RolloutOrder& order, MonotonicTime orderedAfter)
{
    updateEra(order.revision);
    const auto it = m_rollouts.find(order.service);
    const bool isKnownService = it != m_rollouts.end();
    if (isKnownService) {
        if (isSameOrder(it->second, order)) {
            addPosition(it->second, order.revision);
            applyRecord(order.service);
            return;
        }
        if (*it->second.positions.rbegin() >= order.revision || isReplaced(order)) {
            return;
        }
        recordReplaced(it->second);
        m_rollouts.erase(it);
    }
    Rollout rollout { .order = order, .recorder = VersionEvidenceRecorder(m_clock) };
    rollout.positions = { order.revision };
    rollout.orderedAfter = orderedAfter;
    rollout.hasSlack = orderedAfter.count() > 0;
    if (m_era.isRestored() && m_clock.now() - m_restoredAt < rewriteTime) {
        // It may have been given in an earlier era, lost, and written again before this VM received it.
        rollout.mayBeOlder = !isKnownService;
        rollout.isAgeEstimated = true;
        if (!m_era.hasCrossed()) {
            rollout.orderedAfter = MonotonicTime(0);
            rollout.hasSlack = false;
        }
    }
    m_rollouts.emplace(order.service, std::move(rollout));
    m_rejected[order.service].erase(order.target);
    m_timeline.record(EventKind::MoveOrdered,
        { { "service", order.service.value() }, { "target", order.target.value() },
            { "order", std::to_string(order.revision) }, { "duration_ms", std::to_string(order.duration.count()) } });
    applyRecord(order.service);
}

void RolloutTable::withdrawOrder(const ServiceId& service)
{
    if (const auto it = m_rollouts.find(service); it != m_rollouts.end()) {
        it->second.isWithdrawn = true;
    }
}

void RolloutTable::adoptRecord(const RolloutRecord& record, std::int64_t revision)
{
    updateEra(revision);
    auto& known = m_records[record.service];
    if (revision <= known.revision) {
        return;
    }
    if (m_era.isEarlier(known.revision) && isFinal(known.record.state)) {
        m_lost[record.service] = known.record;
    }
    known = { record, revision };
    applyRecord(record.service);
}

void RolloutTable::endRead(std::int64_t position)
{
    updateEra(position);
    for (auto it = m_records.begin(); it != m_records.end();) {
        const auto& [service, known] = *it;
        if (!m_era.isEarlier(known.revision)) {
            ++it;
            continue;
        }
        if (isFinal(known.record.state)) {
            m_lost[service] = known.record;
        } else {
            m_lost.erase(service);
        }
        it = m_records.erase(it);
    }
}

bool RolloutTable::belongs(const RolloutRecord& record, const Rollout& rollout) const
{
    if (rollout.positions.contains(record.order)) {
        return true;
    }
    // An order that began longer ago has ended, so the present one of the same target is a new order.
    const bool isRecent = m_clock.wallNow() - record.orderedAt <= rollout.order.duration + rewriteTime;
    return rollout.mayBeOlder && isRecent && record.target == rollout.order.target && record.order > 0
        && StorePosition::eraOf(record.order) < StorePosition::eraOf(rollout.order.revision);
}

const RolloutTable::KnownRecord* RolloutTable::storedRecord(const ServiceId& service) const
{
    const auto it = m_records.find(service);
    return it == m_records.end() || m_era.isEarlier(it->second.revision) ? nullptr : &it->second;
}

bool RolloutTable::isVerdictLost(const Rollout& rollout) const
{
    return m_era.isRestored() && isFinal(rollout.state)
        && (rollout.verdictRevision == 0 || m_era.isEarlier(rollout.verdictRevision));
}

void RolloutTable::applyRecord(const ServiceId& service)
{
    const auto record = m_records.find(service);
    const auto it = m_rollouts.find(service);
    if (record == m_records.end()) {
        return;
    }
    const auto& known = record->second.record;
    if (it == m_rollouts.end()) {
        // The order was withdrawn after the verdict, or it has not been received yet.
        if (known.state == RolloutState::RolledBack) {
            m_rejected[service].insert(known.target);
        }
        return;
    }
    auto& rollout = it->second;
    if (!belongs(known, rollout)) {
        return;
    }
    addPosition(rollout, known.order);
    if (rollout.orderedAfter.count() == 0) {
        const auto age
            = std::max<std::chrono::nanoseconds>(std::chrono::nanoseconds(0), m_clock.wallNow() - known.orderedAt);
        rollout.orderedAfter = m_clock.now() - age;
        rollout.isAgeEstimated = true;
    }
    setState(rollout, known.state, known.evidence);
    if (isFinal(known.state)) {
        rollout.verdictRevision = record->second.revision;
        if (known.state == rollout.state) {
            rollout.verdict = known;
        }
    }
}

void RolloutTable::setState(Rollout& rollout, RolloutState state, const std::string& source)
{
    if (isFinal(rollout.state) || !isFinal(state)) {
        return;
    }
    rollout.state = state;
    rollout.decidedAt = m_clock.now();
    rollout.reportUntil = rollout.decidedAt + verdictReportTime;
    if (state == RolloutState::RolledBack) {
        m_rejected[rollout.order.service].insert(rollout.order.target);
    }
    m_timeline.record(state == RolloutState::Complete ? EventKind::MoveDone : EventKind::MoveRolledBack,
        { { "service", rollout.order.service.value() }, { "target", rollout.order.target.value() },
            { "order", std::to_string(rollout.order.revision) },
            { "age_ms", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(ageOf(rollout)).count()) },
            { "evidence", source } });
}

void RolloutTable::recordRemote(const VmId& vm, std::vector<RolloutReport> reports)
{
    for (auto& report : reports) {
        const auto it = m_rollouts.find(report.service);
        if (it == m_rollouts.end()) {
            continue;
        }
        auto& rollout = it->second;
        if (!rollout.positions.contains(report.order) && !rollout.positions.contains(report.latest)) {
            continue;
        }
        if (report.order < rollout.order.revision) {
            addPosition(rollout, report.order);
            applyRecord(report.service);
        }
        setState(rollout, report.state, "reported by " + vm.value());
        if (report.age.count() > 0) {
            // The order is at most as old as any VM that observed it takes it to be.
            const auto reported = m_clock.now() - report.age;
            rollout.orderedAfter = rollout.isAgeEstimated ? reported : std::max(rollout.orderedAfter, reported);
            rollout.isAgeEstimated = false;
        }
        rollout.remote[vm] = std::move(report);
    }
}

void RolloutTable::clearRemote(const VmId& vm)
{
    for (auto& [service, rollout] : m_rollouts) {
        rollout.remote.erase(vm);
    }
}

std::chrono::nanoseconds RolloutTable::ageOf(const Rollout& rollout) const
{
    return rollout.orderedAfter.count() == 0 ? std::chrono::nanoseconds(0) : m_clock.now() - rollout.orderedAfter;
}

bool RolloutTable::isRejected(const Rollout& rollout)
{
    return rollout.state == RolloutState::RolledBack || rollout.isWithdrawn
        || rollout.decision.action == RampAction::RollBack;
}

MoveEvidence RolloutTable::pooledEvidence(const Rollout& rollout) const
{
    auto pooled = rollout.recorder.totals();
    for (const auto& [vm, report] : rollout.remote) {
        pooled.add(report.evidence);
    }
    return pooled;
}

RampState RolloutTable::rampStateOf(Rollout& rollout) const
{
    RampState state;
    state.sinceOrder = ageOf(rollout);
    state.duration = rollout.order.duration;
    state.requests = rollout.requests;
    state.newRequests = rollout.targetRequests;
    for (const auto& [vm, report] : rollout.remote) {
        state.requests += report.requests;
        state.newRequests += report.targetRequests;
    }
    const auto now = m_clock.now();
    auto& counts = rollout.counts;
    counts.push_back({ now, state.requests });
    while (counts.size() > 2 && now - counts[1].at >= rateWindow) {
        counts.pop_front();
    }
    const double seconds = std::chrono::duration<double>(now - counts.front().at).count();
    // A VM that restarts reports smaller totals than before.
    const auto first = std::min(counts.front().requests, state.requests);
    state.requestsPerSecond = seconds > 0 ? static_cast<double>(state.requests - first) / seconds : 0;
    state.allowance = m_options.allowance;
    return state;
}

void RolloutTable::refresh(bool isFresh, std::size_t fleetSize)
{
    m_fleetSize = std::max<std::size_t>(1, fleetSize);
    for (auto& [service, rollout] : m_rollouts) {
        if (!isUndecided(rollout)) {
            continue;
        }
        if (rollout.orderedAfter.count() == 0) {
            // Neither a record nor another VM tells the age.
            rollout.orderedAfter = m_clock.now();
            rollout.isAgeEstimated = true;
        }
        evaluate(rollout, isFresh);
    }
}

void RolloutTable::evaluate(Rollout& rollout, bool isFresh)
{
    rollout.recorder.refresh(pooledEvidence(rollout).oldVersion);
    const bool wasRejected = isRejected(rollout);
    if (!wasRejected) {
        // After a rejection, the figures behind it are kept for the record.
        rollout.evaluation = m_evaluator.evaluate(pooledEvidence(rollout));
    }
    auto state = rampStateOf(rollout);
    state.isSuspect = rollout.evaluation.isSuspect;
    // A rejection is final, also if the evidence becomes weaker.
    state.isRejected = wasRejected || rollout.evaluation.fault != MoveReason::None;
    const auto before = rollout.decision;
    rollout.decision = m_ramp.decide(state);
    if (!isFresh) {
        rollout.decision.share = std::min({ before.share, rollout.decision.share, staleShare });
    }
    if (rollout.actionAt.count() == 0 || before.action != rollout.decision.action) {
        rollout.actionAt = m_clock.now();
    }
    if (before.stage != rollout.decision.stage || before.action != rollout.decision.action) {
        logDecision(rollout, state);
    }
}

void RolloutTable::logDecision(const Rollout& rollout, const RampState& state)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(state.sinceOrder);
    m_timeline.record(EventKind::MoveStep,
        { { "service", rollout.order.service.value() }, { "target", rollout.order.target.value() },
            { "stage", std::string(nameOf(rollout.decision.stage)) },
            { "action", std::string(nameOf(rollout.decision.action)) }, { "share", percent(rollout.decision.share) },
            { "age_ms", std::to_string(age.count()) }, { "requests", std::to_string(state.requests) },
            { "target_requests", std::to_string(state.newRequests) },
            { "suspect", rollout.evaluation.isSuspect ? "true" : "false" }, { "route", rollout.evaluation.route },
            { "evidence", rollout.evaluation.text } });
}

double RolloutTable::allowanceLeft(const Rollout& rollout) const
{
    const auto& allowance = m_options.allowance;
    const double slack = rollout.hasSlack ? allowance.slack / static_cast<double>(m_fleetSize) : 0;
    return m_options.usedAllowance * (allowance.share * static_cast<double>(rollout.requests) + slack)
        - static_cast<double>(rollout.targetRequests);
}

std::set<VersionId> RolloutTable::rejectedVersions(const ServiceId& service) const
{
    const auto it = m_rejected.find(service);
    return it == m_rejected.end() ? std::set<VersionId>() : it->second;
}

std::vector<VersionRule> RolloutTable::versionsFor(
    const ServiceId& service, const RequestId& request, const std::optional<PreviousAttempt>& previous) const
{
    const VersionRule others { std::nullopt, rejectedVersions(service) };
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end()) {
        return { others };
    }
    const auto& rollout = it->second;
    const VersionRule target { rollout.order.target, {} };
    if (rollout.state == RolloutState::Complete) {
        return { target, others };
    }
    auto current = others;
    current.excluded.insert(rollout.order.target);
    if (isRejected(rollout) || allowanceLeft(rollout) < 1) {
        return { current };
    }
    const bool prefersTarget = previous ? previous->isBegun && previous->version == rollout.order.target
                                        : fractionOf(request) < rollout.decision.share;
    return prefersTarget ? std::vector { target, current } : std::vector { current, target };
}

RolloutAttemptId RolloutTable::recordSent(
    const ServiceId& service, const VersionId& version, const std::string& route, double work)
{
    const auto it = m_rollouts.find(service);
    if (it == m_rollouts.end() || !isUndecided(it->second)) {
        return {};
    }
    auto& rollout = it->second;
    const bool isTarget = version == rollout.order.target;
    ++rollout.requests;
    rollout.targetRequests += isTarget ? 1 : 0;
    m_metrics.count(isTarget ? Counter::RolloutTargetRequests : Counter::RolloutCurrentRequests);
    const RolloutAttemptId attempt(++m_attempts);
    rollout.recorder.start(attempt, isTarget, route, work);
    return attempt;
}

void RolloutTable::recordOutput(RolloutAttemptId attempt)
{
    for (auto& [service, rollout] : m_rollouts) {
        rollout.recorder.recordOutput(attempt);
    }
}

void RolloutTable::recordEnded(RolloutAttemptId attempt, VersionResult result)
{
    for (auto& [service, rollout] : m_rollouts) {
        const auto isTarget = rollout.recorder.end(attempt, result);
        if (isTarget && result == VersionResult::Failed) {
            m_metrics.count(*isTarget ? Counter::RolloutTargetFailures : Counter::RolloutCurrentFailures);
        }
    }
}

RolloutRecord RolloutTable::nextRecord(const Rollout& rollout, RolloutState state) const
{
    RolloutRecord record;
    record.service = rollout.order.service;
    record.order = rollout.order.revision;
    record.target = rollout.order.target;
    record.state = state;
    record.orderedAt = m_clock.wallNow() - ageOf(rollout);
    record.reason = rollout.isWithdrawn   ? MoveReason::Cancelled
        : state == RolloutState::Complete ? MoveReason::Healthy
                                          : rollout.evaluation.fault;
    if (state == RolloutState::RolledBack && record.reason == MoveReason::None) {
        record.reason = MoveReason::DeadlinePassed;
    }
    record.evidence = rollout.evaluation.route + ": " + rollout.evaluation.text;
    return record;
}

std::vector<RolloutChange> RolloutTable::dueChanges() const
{
    std::vector<RolloutChange> changes;
    for (const auto& [service, rollout] : m_rollouts) {
        const auto now = m_clock.now();
        const auto* stored = storedRecord(service);
        const auto revision = stored ? stored->revision : 0;
        const bool hasRecord
            = stored && (belongs(stored->record, rollout) || stored->record.order > *rollout.positions.rbegin());
        if (hasRecord && isFinal(stored->record.state)) {
            continue;
        }
        if (isVerdictLost(rollout)) {
            auto record = rollout.verdict.value_or(nextRecord(rollout, rollout.state));
            record.order = rollout.order.revision;
            changes.push_back({ std::move(record), revision, now - std::max(m_restoredAt, rollout.decidedAt), true });
            continue;
        }
        if (m_era.isRestored() && now - m_restoredAt < reportTime) {
            // Another VM may know of a verdict that the store has lost.
            continue;
        }
        const auto overdue = now - rollout.actionAt;
        if (isRejected(rollout)) {
            changes.push_back({ nextRecord(rollout, RolloutState::RolledBack), revision, overdue });
        } else if (rollout.decision.action == RampAction::Complete) {
            changes.push_back({ nextRecord(rollout, RolloutState::Complete), revision, overdue });
        } else if (!hasRecord) {
            changes.push_back({ nextRecord(rollout, RolloutState::Running), revision });
        }
    }
    for (const auto& [service, record] : m_lost) {
        const auto* stored = storedRecord(service);
        const bool isStored = stored && (isFinal(stored->record.state) || stored->record.order > record.order);
        if (!isStored && !m_rollouts.contains(service)) {
            changes.push_back({ record, stored ? stored->revision : 0, m_clock.now() - m_restoredAt, true });
        }
    }
    return changes;
}

std::vector<RolloutReport> RolloutTable::reports() const
{
    std::vector<RolloutReport> list;
    for (const auto& [service, rollout] : m_rollouts) {
        if (!isUndecided(rollout) && m_clock.now() > rollout.reportUntil && !isVerdictLost(rollout)) {
            continue;
        }
        RolloutReport report;
        report.service = service;
        report.order = rollout.order.revision;
        report.latest = *rollout.positions.rbegin();
        report.state = rollout.state;
        report.age = rollout.isAgeEstimated ? std::chrono::milliseconds(0)
                                            : std::chrono::ceil<std::chrono::milliseconds>(ageOf(rollout));
        if (isUndecided(rollout)) {
            report.requests = rollout.requests;
            report.targetRequests = rollout.targetRequests;
            report.evidence = rollout.recorder.totals();
        }
        list.push_back(std::move(report));
    }
    return list;
}

std::vector<RolloutReport> RolloutTable::reportsOfZone(const std::vector<VmId>& zone) const
{
    auto list = reports();
    for (auto& report : list) {
        const auto& remote = m_rollouts.at(report.service).remote;
        for (const auto& vm : zone) {
            if (const auto it = remote.find(vm); it != remote.end() && !isFinal(report.state)) {
                report.requests += it->second.requests;
                report.targetRequests += it->second.targetRequests;
                report.evidence.add(it->second.evidence);
            }
        }
    }
    return list;
}

} // namespace Pollenwind
