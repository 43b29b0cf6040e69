#include "Gateway/RelayFleet.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

using namespace std::chrono_literals;

namespace {

    constexpr auto tick = 10ms;
    constexpr auto reportInterval = 250ms;
    constexpr auto ownZoneDelay = 10ms;
    constexpr auto otherZoneDelay = 100ms;

} // namespace

RelayFleet::RelayFleet(
    std::size_t zones, std::size_t vmsPerZone, QuotaTolerance tolerance, const QuotaLoad& load, unsigned seed)
    : m_vmsPerZone(vmsPerZone)
    , m_tolerance(tolerance)
    , m_load(load)
    , m_random(seed)
    , m_vms(zones * vmsPerZone)
{
    m_organisation.id = OrganisationId("org");
    m_organisation.rate = load.rate;
    m_organisation.burst = load.burst;
    m_reference.setOrganisations({ &m_organisation, 1 });
    std::uniform_int_distribution<int> offset(0, 249);
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        auto& vm = m_vms[n];
        // Ids whose order is that of the numbers.
        vm.id = VmId("vm" + std::to_string(1000 + n));
        vm.zone = ZoneId("z" + std::to_string(n / vmsPerZone));
    }
    for (auto& vm : m_vms) {
        startProcess(vm);
        vm.nextReportAt = m_clock.now() + std::chrono::milliseconds(offset(m_random));
    }
}

void RelayFleet::startProcess(Vm& vm)
{
    vm.incarnation = Incarnation(vm.incarnation.value() + 1);
    vm.sequence = 0;
    vm.startedAt = m_clock.now();
    vm.nextReportAt = vm.startedAt + reportInterval;
    vm.reportedAt = vm.startedAt;
    vm.isDown = false;
    vm.inbox.clear();
    vm.quota = std::make_unique<FleetQuota>(m_clock, m_tolerance);
    vm.quota->setOrganisations({ &m_organisation, 1 });
    vm.quota->setLargeFleet(true);
    vm.view = std::make_unique<FleetView>(m_clock, m_timeline, vm.id, vm.zone);
    for (const auto& other : m_vms) {
        vm.view->updateRecord(other.id, FleetView::encodeRecord({ "127.0.0.1", 7600 }, other.zone));
    }
    vm.relay = std::make_unique<ZoneRelay>(vm.id);
}

double RelayFleet::allowedInWindow() const
{
    const double window = std::chrono::duration<double>(m_tolerance.window).count();
    return (m_load.rate * window + m_load.burst) * (1 + m_tolerance.overage) + m_tolerance.slack;
}

std::size_t RelayFleet::relays() const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_vms, [](const Vm& vm) { return vm.relay->term() > 0; }));
}

void RelayFleet::suspend(std::size_t vm, std::chrono::milliseconds duration)
{
    m_vms[vm].suspendedUntil = m_clock.now() + duration;
}

void RelayFleet::restart(std::size_t vm, std::chrono::milliseconds after)
{
    suspend(vm, after);
    m_vms[vm].isDown = true;
}

void RelayFleet::send(const Vm& from, FleetReport report, bool isToOwnZone)
{
    const auto shared = std::make_shared<const FleetReport>(std::move(report));
    const auto at = m_clock.now() + (isToOwnZone ? ownZoneDelay : otherZoneDelay);
    std::bernoulli_distribution isLost(m_loss);
    for (auto& vm : m_vms) {
        if (vm.id != from.id && !vm.isDown && (vm.zone == from.zone) == isToOwnZone && !isLost(m_random)) {
            vm.inbox.push_back({ at, shared });
        }
    }
}

void RelayFleet::report(Vm& vm)
{
    const auto uptime = m_clock.now() - vm.startedAt;
    for (const auto& silent : vm.view->takeSilent()) {
        vm.quota->markSilent(silent, vm.view->shareOf(silent));
    }
    vm.share = vm.view->reachableShare();
    vm.quota->setReachableShare(vm.share);
    vm.relay->update(vm.quota->zoneTotals(), uptime);
    FleetReport report { vm.id, vm.incarnation, ++vm.sequence, vm.quota->ownTotals() };
    report.lowLevels = vm.quota->lowLevels();
    report.uptime = std::chrono::ceil<std::chrono::milliseconds>(uptime);
    report.term = vm.relay->term();
    send(vm, std::move(report), true);
    if (vm.relay->term() == 0) {
        return;
    }
    auto sums = vm.relay->sums(vm.quota->zoneTotals(), uptime);
    FleetReport relayed { FleetView::relayId(vm.zone, vm.id), vm.incarnation, ++vm.sequence, std::move(sums.usage) };
    relayed.members = static_cast<unsigned>(vm.view->reachableOfOwnZone().size());
    relayed.term = sums.term;
    relayed.uptime = std::chrono::ceil<std::chrono::milliseconds>(sums.age);
    send(vm, std::move(relayed), false);
}

void RelayFleet::handleReports(Vm& vm)
{
    for (; !vm.inbox.empty() && vm.inbox.front().at <= m_clock.now(); vm.inbox.pop_front()) {
        const auto& it = *vm.inbox.front().report;
        if (!vm.view->recordReport(it.vm, it.incarnation, it.sequence, it.members)) {
            continue;
        }
        const bool isOfOwnZone = vm.view->isOfOwnZone(it.vm);
        const auto source = it.members > 0 ? ZoneRelay::incarnationOfTerm(it.incarnation, it.term) : it.incarnation;
        vm.quota->recordRemoteUsage(it.vm, source, it.usage, isOfOwnZone, it.uptime);
        vm.quota->recordRemoteLevels(it.lowLevels);
        if (isOfOwnZone) {
            vm.relay->recordReport(it.vm, it.term, it.uptime, vm.quota->zoneTotals(), m_clock.now() - vm.startedAt);
        }
    }
}

void RelayFleet::request()
{
    std::lognormal_distribution<double> size(
        std::log(m_load.meanTokens) - m_load.sizeSpread * m_load.sizeSpread / 2, m_load.sizeSpread);
    std::uniform_int_distribution<std::size_t> place(0, m_vms.size() - 1);
    const QuotaDemand demand { size(m_random), m_load.maxWait };
    auto vm = place(m_random);
    while (m_vms[vm].suspendedUntil > m_clock.now()) {
        vm = place(m_random);
    }
    ++m_outcome.requests;
    const auto sendAt = m_vms[vm].quota->take(m_organisation, demand);
    const bool isOwed = m_reference.take(m_organisation, { demand.tokens }).has_value();
    if (sendAt) {
        m_sent[*sendAt] += demand.tokens;
        return;
    }
    ++m_outcome.refused;
    m_outcome.wronglyRefused += isOwed ? 1 : 0;
}

void RelayFleet::run(std::chrono::milliseconds duration)
{
    std::poisson_distribution<unsigned> arrivals(
        std::max(1e-9, m_load.demand / m_load.meanTokens * std::chrono::duration<double>(tick).count()));
    for (long n = 0; n < duration / tick; ++n) {
        for (unsigned count = arrivals(m_random); count > 0; --count) {
            request();
        }
        for (auto& vm : m_vms) {
            if (vm.suspendedUntil > m_clock.now()) {
                continue;
            }
            if (vm.isDown) {
                startProcess(vm);
            }
            const bool isDue = vm.nextReportAt <= m_clock.now();
            if (isDue) {
                // After a pause the timer is served before the reports that have arrived meanwhile.
                if (FleetView::mustReceiveFirst(m_clock.now() - vm.reportedAt)) {
                    handleReports(vm);
                }
                report(vm);
                vm.reportedAt = m_clock.now();
                vm.nextReportAt = m_clock.now() + vm.interval;
            }
            if (isDue || vm.interval == reportInterval) {
                handleReports(vm);
            }
        }
        m_clock.advance(tick);
    }
    double sum = 0;
    auto oldest = m_sent.begin();
    for (const auto& [at, tokens] : m_sent) {
        sum += tokens;
        for (; oldest->first + m_tolerance.window < at; ++oldest) {
            sum -= oldest->second;
        }
        m_outcome.mostInWindow = std::max(m_outcome.mostInWindow, sum);
    }
}

} // namespace Pollenwind
