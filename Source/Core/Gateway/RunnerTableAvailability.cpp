#include "Common/HashFraction.h"
#include "Gateway/Queries/PrefixQueries.h"
#include "Gateway/RunnerTable.h"

#include <xxhash.h>

#include <algorithm>

// What runners say themselves about the requests that they want: announced shutdowns and back-offs, and what the
// operator says about their zones.

namespace Pollenwind {

namespace {

    // A runner whose zone was out of service may have turned cold since its last entry was read: a heartbeat of 1.2 s
    // and the longest delays of the store's changes.
    constexpr std::chrono::milliseconds zoneReturnTime { 3000 };

    std::string toMilliseconds(std::chrono::nanoseconds time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

} // namespace

void RunnerTable::applyAnnouncement(RunnerEntry& entry) const
{
    if (entry.state == RunnerState::Ready && m_leaving.isLeaving(holderHash(entry.id, entry.incarnation))) {
        entry.state = RunnerState::Draining;
    }
}

void RunnerTable::recordLeaving(
    const UpstreamId& runner, Incarnation incarnation, LeavingSource source, const RequestId& request)
{
    if (!m_leaving.record(holderHash(runner, incarnation), source, {})) {
        return;
    }
    m_timeline.record(EventKind::UpstreamLeaving,
        { { "runner", runner.value() }, { "entry", "announced" }, { "source", std::string(nameOf(source)) },
            { "request", request.value() }, { "age_ms", "0" } });
    const auto it = m_runners.find(runner);
    if (it == m_runners.end() || it->second.entry.incarnation != incarnation) {
        return;
    }
    applyAnnouncement(it->second.entry);
    it->second.endedAt = {};
}

void RunnerTable::recordBackOff(
    const UpstreamId& runner, Incarnation incarnation, std::chrono::nanoseconds wanted, const RequestId& request)
{
    const auto it = m_runners.find(runner);
    if (it == m_runners.end() || it->second.entry.incarnation != incarnation) {
        return;
    }
    const auto now = m_clock.now();
    auto& backOff = it->second.failureState.backOff();
    if (backOff.recordRefusal(now, wanted, spreadOf(it->second))) {
        m_timeline.record(EventKind::UpstreamBackOff,
            { { "runner", runner.value() }, { "request", request.value() }, { "wanted_ms", toMilliseconds(wanted) },
                { "applied_ms", toMilliseconds(backOff.until() - now) } });
    }
}

void RunnerTable::beginTrial(const UpstreamId& runner)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        it->second.failureState.backOff().beginTrial();
    }
}

void RunnerTable::endTrial(const UpstreamId& runner, bool isAccepted)
{
    if (const auto it = m_runners.find(runner); it != m_runners.end()) {
        it->second.failureState.backOff().endTrial(m_clock.now(), isAccepted);
    }
}

bool RunnerTable::needsTrial(const UpstreamId& runner) const
{
    const auto it = m_runners.find(runner);
    return it != m_runners.end() && it->second.failureState.backOff().needsTrial();
}

std::optional<std::chrono::nanoseconds> RunnerTable::timeUntilReturn(const ServiceId& service) const
{
    const auto now = m_clock.now();
    std::optional<std::chrono::nanoseconds> earliest;
    for (const auto& [id, runner] : m_runners) {
        const auto& backOff = runner.failureState.backOff();
        if (isInUse(runner, service) && !backOff.admits(now)) {
            const auto time = std::max(std::chrono::nanoseconds(0), backOff.until() - now);
            earliest = std::min(earliest.value_or(time), time);
        }
    }
    if (!hasOnlyColdRunners(service)) {
        return earliest;
    }
    const auto rule = coldRule(service);
    for (const auto& [id, runner] : m_runners) {
        const auto restriction = restrictionOf(runner, rule);
        if (restriction && isInUse(runner, service) && runner.failureState.backOff().admits(now)) {
            const auto time = timeUntilAllowed(runner, *restriction);
            earliest = std::min(earliest.value_or(time), time);
        }
    }
    return earliest;
}

UnwillingRunners RunnerTable::unwillingRunners() const
{
    const auto now = m_clock.now();
    UnwillingRunners counts;
    for (const auto& [id, runner] : m_runners) {
        const bool isListed = runner.entry.state != RunnerState::Gone;
        counts.leaving += isListed && m_leaving.isLeaving(runner.process) ? 1 : 0;
        const auto restriction = restrictionOf(runner, coldRule(runner.entry.service));
        counts.cold += isListed && restriction && restriction->rate > 0 ? 1 : 0;
        counts.inBackOff += isListed && runner.failureState.backOff().isActive(now) ? 1 : 0;
    }
    return counts;
}

bool RunnerTable::isEvacuated(const Runner& runner) const
{
    return m_restrictions.evacuations && m_restrictions.evacuations->isEvacuated(runner.entry.zone);
}

bool RunnerTable::isInUse(const Runner& runner, const ServiceId& service) const
{
    return runner.entry.service == service && runner.entry.state == RunnerState::Ready
        && !runner.failureState.isReplaced() && !isEvacuated(runner);
}

double RunnerTable::spreadOf(const Runner& runner) const
{
    return toFraction(XXH3_64bits_withSeed(&runner.process, sizeof runner.process, m_options.spreadSeed));
}

ColdRule RunnerTable::coldRule(const ServiceId& service) const
{
    if (!m_restrictions.routing || !m_restrictions.coldLimit) {
        return {};
    }
    const auto configuration = m_restrictions.routing->current();
    const auto it = configuration->services.find(service);
    return it == configuration->services.end() ? ColdRule {}
                                               : ColdRule { it->second.coldRequestsPerSecond, it->second.coldTime };
}

std::optional<RunnerTable::Restriction> RunnerTable::restrictionOf(const Runner& runner, const ColdRule& rule) const
{
    const auto now = m_clock.now();
    const double rate = std::max(0.0, rule.requestsPerSecond);
    const auto returned
        = m_restrictions.evacuations ? m_restrictions.evacuations->timeSinceEnd(runner.entry.zone) : std::nullopt;
    if (rate <= 0 && !returned) {
        return std::nullopt;
    }
    const double spread = spreadOf(runner);
    if (const auto since = runner.coldState.coldSince(rule, now, spread)) {
        return Restriction { *since, rate };
    }
    const auto returnTime
        = zoneReturnTime + std::chrono::duration_cast<std::chrono::nanoseconds>(returnSpreadTime * spread);
    return returned && *returned < returnTime ? std::optional(Restriction { now - *returned, rate }) : std::nullopt;
}

std::chrono::nanoseconds RunnerTable::timeUntilAllowed(const Runner& runner, const Restriction& restriction) const
{
    return restriction.rate <= 0 ? std::chrono::nanoseconds(0)
                                 : m_restrictions.coldLimit->timeUntilToken(
                                       runner.process, restriction.rate, restriction.since + connectAllowance);
}

bool RunnerTable::hasOnlyColdRunners(const ServiceId& service) const
{
    const auto rule = coldRule(service);
    bool hasCold = false;
    for (const auto& [id, runner] : m_runners) {
        if (isInUse(runner, service)) {
            const auto restriction = restrictionOf(runner, rule);
            if (!restriction || restriction->rate <= 0) {
                return false;
            }
            hasCold = true;
        }
    }
    return hasCold;
}

std::map<ZoneId, unsigned> RunnerTable::ownRequestsByZone() const
{
    std::map<ZoneId, unsigned> requests;
    for (const auto& [id, runner] : m_runners) {
        requests[runner.entry.zone] += runner.own.requests;
    }
    return requests;
}

void RunnerTable::recordReportedLeaving(const VmId& vm, std::span<const LeavingRunner> leaving)
{
    for (const auto& it : leaving) {
        if (!m_leaving.record(it.process, LeavingSource::OtherVm, it.age)) {
            continue;
        }
        const auto runner
            = std::ranges::find_if(m_runners, [&it](const auto& known) { return known.second.process == it.process; });
        m_timeline.record(EventKind::UpstreamLeaving,
            { { "runner", runner == m_runners.end() ? "" : runner->first.value() }, { "entry", "announced" },
                { "source", std::string(nameOf(LeavingSource::OtherVm)) }, { "vm", vm.value() },
                { "age_ms", std::to_string(it.age.count()) } });
    }
}

bool RunnerTable::mayStillSend(const UpstreamId& runner, Incarnation incarnation) const
{
    const auto it = m_runners.find(runner);
    if (it != m_runners.end()) {
        const auto restriction = restrictionOf(it->second, coldRule(it->second.entry.service));
        const bool isLimited = restriction && restriction->rate > 0;
        // A request that was placed at a warm runner has no share of a cold one's rate.
        const bool hasTurnedCold = isLimited
            && (it->second.entry.incarnation != incarnation || m_clock.now() < restriction->since + connectAllowance);
        if (isEvacuated(it->second) || hasTurnedCold) {
            return false;
        }
    }
    if (it == m_runners.end() || it->second.entry.incarnation != incarnation) {
        return !m_leaving.isLeaving(holderHash(runner, incarnation));
    }
    const auto& failureState = it->second.failureState;
    return it->second.entry.state != RunnerState::Draining && !failureState.isReplaced()
        && !failureState.backOff().isActive(m_clock.now()) && !m_leaving.isLeaving(it->second.process);
}

} // namespace Pollenwind
