#pragma once

#include "Gateway/FleetQuota.h"
#include "Gateway/FleetReportCodec.h"
#include "Gateway/FleetView.h"
#include "Gateway/QuotaFleet.h"
#include "Gateway/ZoneRelay.h"
#include "Timeline/Timeline.h"

#include <deque>
#include <memory>
#include <random>
#include <vector>

namespace Pollenwind {

/// A large fleet in virtual time whose VMs decide with FleetQuota, FleetView and ZoneRelay: each VM reports to its zone
/// every 250 ms at a time of its own, the relays send sums to the other zones. VMs can be suspended, slow or restarted;
/// reports are lost at random. Requests arrive at random VMs that are not suspended.
class RelayFleet {
public:
    RelayFleet(
        std::size_t zones, std::size_t vmsPerZone, QuotaTolerance tolerance, const QuotaLoad& load, unsigned seed);

    void run(std::chrono::milliseconds duration);
    void setDemand(double demand) { m_load.demand = demand; }
    /// Share of the reports that are lost.
    void setLoss(double share) { m_loss = share; }
    /// VMs by their order of ids in their zone; the first one is relay after a common start.
    std::size_t vmAt(std::size_t zone, std::size_t place) const { return zone * m_vmsPerZone + place; }
    std::size_t size() const { return m_vms.size(); }
    /// Suspends a VM's process. What is sent to it meanwhile waits in its socket.
    void suspend(std::size_t vm, std::chrono::milliseconds duration);
    /// Makes a VM handle its reports and send its own only once in the given time.
    void slowDown(std::size_t vm, std::chrono::milliseconds interval) { m_vms[vm].interval = interval; }
    /// Kills a VM's process; a new one starts after the given time.
    void restart(std::size_t vm, std::chrono::milliseconds after);
    QuotaOutcome outcome() const { return m_outcome; }
    double allowedInWindow() const;
    /// Share of the rates that a VM used since its last report, from 0 to 1.
    double shareUsedBy(std::size_t vm) const { return m_vms[vm].share; }
    /// Number of relays at present.
    std::size_t relays() const;

private:
    struct Delivery {
        MonotonicTime at { 0 };
        std::shared_ptr<const FleetReport> report;
    };
    struct Vm {
        VmId id;
        ZoneId zone;
        std::unique_ptr<FleetQuota> quota;
        std::unique_ptr<FleetView> view;
        std::unique_ptr<ZoneRelay> relay;
        Incarnation incarnation { 0 };
        std::uint64_t sequence = 0;
        MonotonicTime startedAt { 0 };
        /// Time until which the process does nothing.
        MonotonicTime suspendedUntil { 0 };
        /// Whether a new process starts at that time.
        bool isDown = false;
        MonotonicTime reportedAt { 0 };
        double share = 1;
        MonotonicTime nextReportAt { 0 };
        std::chrono::milliseconds interval { 250 };
        std::deque<Delivery> inbox;
    };

    void startProcess(Vm& vm);
    void request();
    void send(const Vm& from, FleetReport report, bool isToOwnZone);
    void report(Vm& vm);
    void handleReports(Vm& vm);

    ManualClock m_clock;
    Timeline m_timeline { m_clock, "test" };
    std::size_t m_vmsPerZone;
    QuotaTolerance m_tolerance;
    QuotaLoad m_load;
    double m_loss = 0.01;
    OrganisationRule m_organisation;
    std::mt19937 m_random;
    std::vector<Vm> m_vms;
    std::map<MonotonicTime, double> m_sent;
    FleetQuota m_reference { m_clock };
    QuotaOutcome m_outcome;
};

} // namespace Pollenwind
