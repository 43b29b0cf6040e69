#pragma once

#include "Gateway/FleetQuota.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Pollenwind {

/// Load that one organisation puts on a simulated fleet.
struct QuotaLoad {
    double rate = 0;
    double burst = 0;
    /// Requested tokens per second.
    double demand = 0;
    double meanTokens = 9200;
    /// Spread of the sizes: standard deviation of the logarithm.
    double sizeSpread = 0.4;
    std::chrono::milliseconds maxWait { 560 };
};

/// What the requests of a simulated load became.
struct QuotaOutcome {
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Refused although one bucket for the whole fleet would have admitted the request.
    std::size_t wronglyRefused = 0;
    /// Most tokens whose requests were sent within any window of 8 s.
    double mostInWindow = 0;
};

/// A large fleet in virtual time whose VMs decide with FleetQuota: reports within a zone every 250 ms, sums of each
/// zone to the others through a relay, which take another interval. Seeded Poisson arrivals at random VMs.
class QuotaFleet {
public:
    QuotaFleet(
        std::size_t zones, std::size_t vmsPerZone, QuotaTolerance tolerance, const QuotaLoad& load, unsigned seed);

    /// Runs the load.
    void run(std::chrono::milliseconds duration);
    /// Lets time pass without requests.
    void idle(std::chrono::milliseconds duration);
    /// Replaces the process of one VM in each zone in turn with every report, as in a rolling restart.
    void setRollingRestart(bool isRolling) { m_isRolling = isRolling; }
    /// Kills the processes of all VMs and starts new ones.
    void restartAll();
    /// Cuts the first zone off from the others or reconnects it.
    void setCut(bool isCut);
    void setDemand(double demand) { m_load.demand = demand; }
    QuotaOutcome outcome() const { return m_outcome; }
    double allowedInWindow() const;

private:
    struct Vm {
        std::unique_ptr<FleetQuota> quota;
        Incarnation incarnation { 1 };
        MonotonicTime startedAt { 0 };
    };
    struct RelayReport {
        std::size_t zone = 0;
        Incarnation incarnation;
        UsageTotals totals;
        std::chrono::nanoseconds uptime { 0 };
    };

    void addProcess(Vm& vm);
    void exchangeReports();
    void restartNext();
    void request();
    std::size_t zoneOf(std::size_t vm) const { return vm / m_vmsPerZone; }
    bool isConnected(std::size_t a, std::size_t b) const { return a == b || !m_isCut || (a != 0 && b != 0); }
    double reachableShare(std::size_t zone) const;

    ManualClock m_clock;
    std::size_t m_zones;
    std::size_t m_vmsPerZone;
    QuotaTolerance m_tolerance;
    QuotaLoad m_load;
    OrganisationRule m_organisation;
    std::mt19937 m_random;
    std::vector<Vm> m_vms;
    std::deque<std::vector<RelayReport>> m_relayReports;
    /// Tokens by the time at which their requests were sent.
    std::map<MonotonicTime, double> m_sent;
    FleetQuota m_reference;
    std::size_t m_nextRestart = 0;
    bool m_isRolling = false;
    bool m_isCut = false;
    QuotaOutcome m_outcome;
};

} // namespace Pollenwind
