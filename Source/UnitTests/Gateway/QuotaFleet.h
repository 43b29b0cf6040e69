#pragma once

#include "Gateway/FleetQuota.h"
#include "Gateway/QuotaRecordPolicy.h"

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
    /// Requested tokens per second of requests that may use the reserve, in addition to the demand.
    double reserveDemand = 0;
    double reserveTokens = 900;
    /// VMs at which the callers are; 0 for all.
    std::size_t callerVms = 0;
};

/// What the requests of a simulated load became.
struct QuotaOutcome {
    std::size_t requests = 0;
    std::size_t refused = 0;
    /// Refused although one bucket for the whole fleet would have admitted the request.
    std::size_t wronglyRefused = 0;
    /// Requests that may use the reserve.
    std::size_t reserveRequests = 0;
    std::size_t reserveRefused = 0;
    /// Most tokens whose requests were sent within any window of 8 s.
    double mostInWindow = 0;
};

/// A store that keeps the record of a simulated fleet.
struct QuotaRecordStore {
    struct Write {
        MonotonicTime executeAt { 0 };
        std::int64_t expectedRevision = 0;
        std::string value;
    };

    /// Whether no call has an effect.
    bool isDown = false;
    /// Time from a call to its effect.
    std::chrono::milliseconds delay { 0 };
    StoreEra era { 1 };
    std::int64_t revision = 0;
    std::string value;
    std::size_t writes = 0;
    std::size_t conflicts = 0;
    std::deque<Write> pending;
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
    /// Sets whether VMs record the organisations in heavy use in the store, and use the record when they start.
    void setRecording(bool isRecording) { m_isRecording = isRecording; }
    bool isRecording() const { return m_isRecording; }
    /// Stops the first VMs of a zone, whose processes miss all reports meanwhile, or lets them go on.
    void setPaused(std::size_t zone, std::size_t vms, bool isPaused);
    /// Moves the time of day of all VMs or of the first one only.
    void shiftWallClock(std::chrono::milliseconds shift, bool isOnlyFirst);
    /// Restores the store from a copy.
    void restoreStore(const QuotaRecordStore& copy);
    QuotaRecordStore& store() { return m_store; }
    /// Organisations that the record in the store lists as in heavy use; nothing without a record.
    std::optional<std::size_t> recordedHeavy() const;
    /// Number of processes that started with a record.
    std::size_t recordsUsed() const { return m_recordsUsed; }
    /// Cuts the first zone off from the others or reconnects it.
    void setCut(bool isCut);
    void setDemand(double demand, double reserveDemand = 0)
    {
        m_load.demand = demand;
        m_load.reserveDemand = reserveDemand;
    }
    QuotaOutcome outcome() const { return m_outcome; }
    double allowedInWindow() const;

private:
    /// The clock of one VM, whose time of day may be wrong.
    class VmClock final : public Clock {
    public:
        explicit VmClock(const Clock& base)
            : m_base(base)
        {
        }
        MonotonicTime now() const override { return m_base.now(); }
        WallTime wallNow() const override { return m_base.wallNow() + shift; }

        std::chrono::nanoseconds shift { 0 };

    private:
        const Clock& m_base;
    };
    /// Each VM in turn, as if all had the same view of the fleet.
    struct VmTurns final : public TurnQueries {
        bool isOwnTurn(std::uint64_t subject) const override { return subject * 7 % vms == vm; }

        std::size_t vm = 0;
        std::size_t vms = 1;
    };
    struct Vm {
        std::unique_ptr<VmClock> clock;
        VmTurns turns;
        std::unique_ptr<QuotaRecordPolicy> policy;
        /// Revision of the record as the VM knows it.
        std::int64_t knownRevision = 0;
        bool isPaused = false;
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
    /// Writes and distributes the record.
    void exchangeRecords();
    void executeWrites();
    void readRecord(Vm& vm);
    void request(bool mayUseReserve);
    void requestAll(bool mayUseReserve);
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
    bool m_isRecording = false;
    std::size_t m_recordsUsed = 0;
    QuotaRecordStore m_store;
    bool m_isRolling = false;
    bool m_isCut = false;
    QuotaOutcome m_outcome;
};

} // namespace Pollenwind
