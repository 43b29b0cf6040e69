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
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        m_vms[n].clock = std::make_unique<VmClock>(m_clock);
        m_vms[n].turns.vm = n;
        m_vms[n].turns.vms = m_vms.size();
        addProcess(m_vms[n]);
    }
    m_reference.setOrganisations({ &m_organisation, 1 });
}

void QuotaFleet::addProcess(Vm& vm)
{
    vm.quota = std::make_unique<FleetQuota>(m_clock, m_tolerance);
    vm.startedAt = m_clock.now();
    vm.quota->setOrganisations({ &m_organisation, 1 });
    vm.quota->setLargeFleet(true);
    vm.quota->setFleetSize(m_vms.size());
    vm.policy = std::make_unique<QuotaRecordPolicy>(*vm.clock);
    if (m_isRecording) {
        readRecord(vm);
    }
}

void QuotaFleet::readRecord(Vm& vm)
{
    auto record = QuotaRecordCodec::decode(m_store.value);
    const auto known = record ? std::optional(*std::move(record)) : std::nullopt;
    vm.knownRevision = m_store.revision;
    vm.policy->setKnown(known);
    const auto use = vm.policy->useOf(known, m_store.era, vm.quota->rulesDigest());
    if (use == QuotaRecordUse::Used) {
        ++m_recordsUsed;
        vm.policy->setStartedWithKnown();
        vm.quota->startWithRecentUse({ known->heavy.begin(), known->heavy.end() });
    } else if (use == QuotaRecordUse::Spent) {
        vm.quota->startAfterRepeatedRestart();
    }
}

std::optional<std::size_t> QuotaFleet::recordedHeavy() const
{
    const auto record = QuotaRecordCodec::decode(m_store.value);
    return record ? std::optional(record->heavy.size()) : std::nullopt;
}

void QuotaFleet::setPaused(std::size_t zone, std::size_t vms, bool isPaused)
{
    for (std::size_t n = 0; n < vms; ++n) {
        m_vms[zone * m_vmsPerZone + n].isPaused = isPaused;
    }
}

void QuotaFleet::shiftWallClock(std::chrono::milliseconds shift, bool isOnlyFirst)
{
    for (auto& vm : m_vms) {
        vm.clock->shift += shift;
        if (isOnlyFirst) {
            return;
        }
    }
}

void QuotaFleet::restoreStore(const QuotaRecordStore& copy)
{
    m_store.value = copy.value;
    m_store.pending.clear();
    m_store.era = StoreEra(m_store.era.value() + 1);
    // Revisions of a later era are greater.
    m_store.revision += 1'000'000;
}

void QuotaFleet::executeWrites()
{
    while (!m_store.pending.empty() && m_store.pending.front().executeAt <= m_clock.now()) {
        const auto write = std::move(m_store.pending.front());
        m_store.pending.pop_front();
        if (m_store.isDown || write.expectedRevision != m_store.revision) {
            m_store.conflicts += m_store.isDown ? 0 : 1;
            continue;
        }
        m_store.value = write.value;
        ++m_store.revision;
        ++m_store.writes;
    }
}

void QuotaFleet::exchangeRecords()
{
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        auto& vm = m_vms[n];
        if (vm.isPaused) {
            continue;
        }
        if (const auto record = vm.policy->due(*vm.quota, vm.turns, m_store.era, reachableShare(zoneOf(n)))) {
            m_store.pending.push_back(
                { m_clock.now() + m_store.delay, vm.knownRevision, QuotaRecordCodec::encode(*record) });
        }
    }
    executeWrites();
    if (m_store.isDown) {
        return;
    }
    const auto record = QuotaRecordCodec::decode(m_store.value);
    for (auto& vm : m_vms) {
        if (!vm.isPaused && vm.knownRevision != m_store.revision) {
            vm.knownRevision = m_store.revision;
            vm.policy->setKnown(record ? std::optional(*record) : std::nullopt);
        }
    }
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
            if (to != from && !m_vms[to].isPaused && !m_vms[from].isPaused) {
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
            if (zoneOf(to) != report.zone && !m_vms[to].isPaused && isConnected(zoneOf(to), report.zone)) {
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
    for (std::size_t n = 0; n < m_vms.size(); ++n) {
        auto& vm = m_vms[n];
        addProcess(vm);
        vm.quota->setReachableShare(reachableShare(zoneOf(n)));
        vm.incarnation = Incarnation(vm.incarnation.value() + 1);
    }
}

void QuotaFleet::request(bool mayUseReserve)
{
    const double mean = mayUseReserve ? m_load.reserveTokens : m_load.meanTokens;
    std::lognormal_distribution<double> size(
        std::log(mean) - m_load.sizeSpread * m_load.sizeSpread / 2, m_load.sizeSpread);
    const auto vms = m_load.callerVms > 0 ? m_load.callerVms : m_vms.size();
    std::uniform_int_distribution<std::size_t> place(0, vms - 1);
    const QuotaDemand demand { size(m_random), m_load.maxWait, 0, mayUseReserve };
    ++m_outcome.requests;
    m_outcome.reserveRequests += mayUseReserve ? 1 : 0;
    // Spread over all zones.
    const auto draw = [&] { return place(m_random) * m_vms.size() / vms; };
    auto vm = draw();
    while (m_vms[vm].isPaused) {
        vm = draw();
    }
    const auto sendAt = m_vms[vm].quota->take(m_organisation, demand);
    const bool isOwed = m_reference.take(m_organisation, { demand.tokens }).has_value();
    if (sendAt) {
        m_sent[*sendAt] += demand.tokens;
        return;
    }
    ++m_outcome.refused;
    m_outcome.reserveRefused += mayUseReserve ? 1 : 0;
    m_outcome.wronglyRefused += isOwed ? 1 : 0;
}

void QuotaFleet::requestAll(bool mayUseReserve)
{
    const double demand = mayUseReserve ? m_load.reserveDemand : m_load.demand;
    if (demand <= 0) {
        return;
    }
    const double mean = mayUseReserve ? m_load.reserveTokens : m_load.meanTokens;
    std::poisson_distribution<unsigned> arrivals(demand / mean * std::chrono::duration<double>(tick).count());
    for (unsigned count = arrivals(m_random); count > 0; --count) {
        request(mayUseReserve);
    }
}

void QuotaFleet::run(std::chrono::milliseconds duration)
{
    const auto ticks = duration / tick;
    for (long n = 0; n < ticks; ++n) {
        requestAll(false);
        requestAll(true);
        if (n % ticksPerReport == ticksPerReport - 1) {
            exchangeReports();
            if (m_isRecording) {
                exchangeRecords();
            }
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
