#include "Gateway/Queries/PrefixQueries.h"
#include "Gateway/RunnerTable.h"

#include <xxhash.h>

#include <algorithm>

// What runners say themselves about the requests that they want: announced shutdowns and back-offs, and what the
// operator says about their zones.

namespace Pollenwind {

namespace {

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
    const auto hash = XXH3_64bits_withSeed(&it->second.process, sizeof it->second.process, m_options.spreadSeed);
    const double spread = static_cast<double>(hash >> 11) / 9007199254740992.0;
    if (backOff.recordRefusal(now, wanted, spread)) {
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
        const bool isUsed = runner.entry.service == service && runner.entry.state == RunnerState::Ready
            && !runner.failureState.isReplaced() && !isEvacuated(runner);
        if (isUsed && !backOff.admits(now)) {
            const auto time = std::max(std::chrono::nanoseconds(0), backOff.until() - now);
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
        counts.inBackOff += isListed && runner.failureState.backOff().isActive(now) ? 1 : 0;
    }
    return counts;
}

bool RunnerTable::isEvacuated(const Runner& runner) const
{
    return m_restrictions.evacuations && m_restrictions.evacuations->isEvacuated(runner.entry.zone);
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
    if (it != m_runners.end() && isEvacuated(it->second)) {
        return false;
    }
    if (it == m_runners.end() || it->second.entry.incarnation != incarnation) {
        return !m_leaving.isLeaving(holderHash(runner, incarnation));
    }
    const auto& failureState = it->second.failureState;
    return it->second.entry.state != RunnerState::Draining && !failureState.isReplaced()
        && !failureState.backOff().isActive(m_clock.now()) && !m_leaving.isLeaving(it->second.process);
}

} // namespace Pollenwind
