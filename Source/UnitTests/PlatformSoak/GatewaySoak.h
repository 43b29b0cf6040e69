#pragma once

#include "PlatformAdapter/PlatformStandIns.h"
#include "PlatformSoak/CrashingPart.h"
#include "PlatformSoak/SoakCaller.h"
#include "PlatformSoak/SoakRunner.h"

namespace Pollenwind {

/// Runs gateways as processes with concurrent callers, injects faults from outside and checks the guarantees meanwhile.
class GatewaySoak {
public:
    GatewaySoak(asio::any_io_executor executor, GatewaySoakOptions options);

    /// Runs for the configured duration and the recovery time after it.
    /// @return An error if the run could not be started.
    Task<Outcome<void>> run();

    const GatewaySoakReport& report() const { return m_report; }

private:
    /// Reserves a loopback network until this run ends. Gateways of two runs may share a port and would then receive
    /// requests of both.
    /// @return The first octets of its addresses; an error if other runs use all networks.
    Outcome<std::string> reserveNetwork();
    Task<> injectRandomFaults();
    Task<> inject(GatewayFault fault, std::uint64_t draw);
    Task<> applyLinkFault(FaultProxy& link, LinkState state, std::chrono::milliseconds time);
    Task<> applyRunnerFault(SoakRunner& runner, RunnerFault fault, std::chrono::milliseconds time);
    Task<> replaceRunner(SoakRunner& runner);
    Task<> playCrashingPart();
    Task<> pauseGateway(std::size_t index, std::chrono::milliseconds time);
    /// Evacuates one zone after the other, by a random sequence of its own, so that the faults of a seed stay the same.
    Task<> evacuateZones();
    /// Records a disturbance of the store or of its link that has just ended or begins.
    void recordStoreDisturbed();
    /// Plays restores of the store from copies of different ages.
    Task<> restoreStore(std::uint64_t draw);
    /// Takes the store away, brings it back from its copy and checks that the gateways serve soon after that.
    Task<> restoreOnce();
    /// Whether a gateway has had no fault of its own or of its way to the store since shortly before a time.
    bool wasUndisturbed(const GatewayProcess& gateway, std::chrono::steady_clock::time_point since) const;
    void writeConfiguration();
    /// Writes what the operator has confirmed to the store.
    void writeOperatorRecords();
    /// Writes the runners' entries to the store at their heartbeat interval.
    Task<> sendHeartbeats();
    /// Probes which versions of the configuration each process has in force.
    Task<> watchConfiguration();
    Task<> checkRecovery();

    asio::any_io_executor m_executor;
    GatewaySoakOptions m_options;
    GatewaySoakReport m_report;
    RequestLedger m_ledger;
    CrashingPart m_crashingPart;
    EvacuatedZone m_evacuatedZone;
    KvStoreStandIn m_store;
    FaultProxy m_storeLink;
    /// Has the port that marks the network of this run as in use.
    asio::ip::tcp::acceptor m_networkGuard;
    std::deque<SoakRunner> m_runners;
    std::deque<GatewayProcess> m_gateways;
    std::deque<SoakCaller> m_callers;
    std::size_t m_activeTasks = 0;
    std::int64_t m_configuration = 0;
    std::int64_t m_weights = 1;
    std::string m_configurationText;
    bool m_isRestoring = false;
    /// End of the last fault of the store or of its link, except restores.
    std::chrono::steady_clock::time_point m_storeDisturbedAt;
    /// Time of the last SIGTERM, by VM.
    std::map<std::string, std::chrono::steady_clock::time_point> m_stoppedAt;
    /// Runners whose entries have expired.
    std::vector<std::string> m_endedRunners;
    std::chrono::steady_clock::time_point m_end;
    bool m_isOver = false;
};

/// Formats one line for each guarantee, the number of injected faults and the responses by status; status 0 means no
/// complete response.
std::string formatReport(const GatewaySoakReport& report);

} // namespace Pollenwind
