#include "Gateway/QuotaFleet.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

using namespace std::chrono_literals;

namespace {

    constexpr auto tick = 10ms;
    constexpr unsigned ticksPerReport = 25;

    OrganisationRule organisationOf(const QuotaLoad& load)
    {
        OrganisationRule organisation;
        organisation.id = OrganisationId("org");
        organisation.rate = load.rate;
        organisation.burst = load.burst;
        return organisation;
    }

} // namespace

QuotaFleet::QuotaFleet(
    std::size_t zones, std::size_t vmsPerZone, QuotaTolerance tolerance, const QuotaLoad& load, unsigned seed)
    : m_zones(zones)
    , m_vmsPerZone(vmsPerZone)
    , m_tolerance(tolerance)
    , m_load(load)
    , m_organisation(organisationOf(load))
    , m_random(seed)
    , m_vms(zones * vmsPerZone)
    , m_reference(m_clock)
{
    for (auto& vm : m_vms) {
        addProcess(vm);
    }
    m_reference.setOrganisations({ &m_organisation, 1 });
}

void QuotaFleet::addProcess(Vm& vm)
{
    vm.quota = std::make_unique<FleetQuota>(m_clock, m_tolerance);
    vm.startedAt = m_clock.now();
    vm.quota->setOrganisations({ &m_organisation, 1 });
    vm.quota->setLargeFleet(true);
}

double QuotaFleet::allowedInWindow() const
{
    const double window = std::chrono::duration<double>(m_tolerance.window).count();
    return (m_load.rate * window + m_load.burst) * (1 + m_tolerance.overage) + m_tolerance.slack;
}

double QuotaFleet::reachableShare(std::size_t zone) const
{
    std::size_t reachable = 0;
    for (std::size_t other = 0; other < m_zones; ++other) {
        reachable += isConnected(zone, other) ? 1 : 0;
    }
    return static_cast<double>(reachable) / static_cast<double>(m_zones);
}

void QuotaFleet::setCut(bool isCut)
{
    m_isCut = isCut;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
        m_vms[vm].quota->setReachableShare(reachableShare(zoneOf(vm)));
        for (std::size_t zone = 0; zone < m_zones && isCut; ++zone) {
            if (!isConnected(zoneOf(vm), zone)) {
                m_vms[vm].quota->markSilent(VmId("zone" + std::to_string(zone)), 1.0 / static_cast<double>(m_zones));
            }
        }
    }
}

void QuotaFleet::exchangeReports()
{
    auto& sums = m_relayReports.emplace_back();
    for (std::size_t from = 0; from < m_vms.size(); ++from) {
        const auto zone = zoneOf(from);
        for (std::size_t to = zone * m_vmsPerZone; to < (zone + 1) * m_vmsPerZone; ++to) {
            if (to != from) {
                m_vms[to].quota->recordRemoteUsage(VmId(std::to_string(from)), m_vms[from].incarnation,
                    m_vms[from].quota->ownTotals(), true, m_clock.now() - m_vms[from].startedAt);
                m_vms[to].quota->recordRemoteLevels(m_vms[from].quota->lowLevels());
            }
        }
    }
    // The last VM of each zone is its relay; rolling restarts leave it alone.
    for (std::size_t zone = 0; zone < m_zones; ++zone) {
        const auto& relay = m_vms[(zone + 1) * m_vmsPerZone - 1];
        sums.push_back({ zone, relay.incarnation, relay.quota->zoneTotals(), m_clock.now() - relay.startedAt });
    }
    if (m_relayReports.size() < 2) {
        return;
    }
    for (const auto& report : m_relayReports.front()) {
        for (std::size_t to = 0; to < m_vms.size(); ++to) {
            if (zoneOf(to) != report.zone && isConnected(zoneOf(to), report.zone)) {
                m_vms[to].quota->recordRemoteUsage(VmId("zone" + std::to_string(report.zone)), report.incarnation,
                    report.totals, false, report.uptime);
            }
        }
    }
    m_relayReports.pop_front();
}

void QuotaFleet::restartNext()
{
    const auto place = m_nextRestart++ % (m_vmsPerZone - 1);
    for (std::size_t zone = 0; zone < m_zones; ++zone) {
        auto& vm = m_vms[zone * m_vmsPerZone + place];
        addProcess(vm);
        vm.quota->setReachableShare(reachableShare(zone));
        vm.incarnation = Incarnation(vm.incarnation.value() + 1);
    }
}

void QuotaFleet::restartAll()
{
    m_relayReports.clear();
    for (auto& vm : m_vms) {
        addProcess(vm);
        vm.incarnation = Incarnation(vm.incarnation.value() + 1);
    }
}

void QuotaFleet::request()
{
    std::lognormal_distribution<double> size(
        std::log(m_load.meanTokens) - m_load.sizeSpread * m_load.sizeSpread / 2, m_load.sizeSpread);
    std::uniform_int_distribution<std::size_t> place(0, m_vms.size() - 1);
    const QuotaDemand demand { size(m_random), m_load.maxWait };
    ++m_outcome.requests;
    const auto sendAt = m_vms[place(m_random)].quota->take(m_organisation, demand);
    const bool isOwed = m_reference.take(m_organisation, { demand.tokens }).has_value();
    if (sendAt) {
        m_sent[*sendAt] += demand.tokens;
        return;
    }
    ++m_outcome.refused;
    m_outcome.wronglyRefused += isOwed ? 1 : 0;
}

void QuotaFleet::run(std::chrono::milliseconds duration)
{
    std::poisson_distribution<unsigned> arrivals(
        m_load.demand / m_load.meanTokens * std::chrono::duration<double>(tick).count());
    const auto ticks = duration / tick;
    for (long n = 0; n < ticks; ++n) {
        for (unsigned count = m_load.demand > 0 ? arrivals(m_random) : 0; count > 0; --count) {
            request();
        }
        if (n % ticksPerReport == ticksPerReport - 1) {
            exchangeReports();
            if (m_isRolling) {
                restartNext();
            }
        }
        m_clock.advance(tick);
    }
    // The sums over all windows that end with a request.
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

void QuotaFleet::idle(std::chrono::milliseconds duration)
{
    const double demand = std::exchange(m_load.demand, 0);
    run(duration);
    m_load.demand = demand;
}

} // namespace Pollenwind
