#pragma once

#include "PlatformAdapter/PlatformStandIns.h"
#include "PlatformSoak/SoakCaller.h"
#include "PlatformSoak/SoakRunner.h"

namespace Pollenwind {

/// One soak run: gateways as processes, callers, faults from outside, and checks while it runs.
class GatewaySoak {
public:
    GatewaySoak(asio::any_io_executor executor, GatewaySoakOptions options);

    /// Runs to the end.
    /// @return An error when the run could not begin.
    Task<Outcome<void>> run();

    const GatewaySoakReport& report() const { return m_report; }

private:
    Task<> injectRandomFaults();
    Task<> inject(GatewayFault fault, std::uint64_t draw);
    Task<> applyLinkFault(FaultProxy& link, LinkState state, std::chrono::milliseconds time);
    Task<> applyRunnerFault(SoakRunner& runner, RunnerFault fault, std::chrono::milliseconds time);
    Task<> replaceRunner(SoakRunner& runner);
    Task<> pauseGateway(std::size_t index, std::chrono::milliseconds time);
    void writeConfiguration();
    /// Writes the runners' entries as their heartbeats do.
    Task<> sendHeartbeats();
    /// Asks each process which versions of the configuration it has in force.
    Task<> watchConfiguration();
    Task<> checkRecovery();

    asio::any_io_executor m_executor;
    GatewaySoakOptions m_options;
    GatewaySoakReport m_report;
    RequestLedger m_ledger;
    KvStoreStandIn m_store;
    FaultProxy m_storeLink;
    std::deque<SoakRunner> m_runners;
    std::deque<GatewayProcess> m_gateways;
    std::deque<SoakCaller> m_callers;
    std::size_t m_activeTasks = 0;
    std::int64_t m_configuration = 0;
    std::int64_t m_weights = 1;
    std::chrono::steady_clock::time_point m_end;
    bool m_isOver = false;
};

/// Prints one line for each promise, the faults drawn and the answers by status; 0 stands for none.
std::string formatReport(const GatewaySoakReport& report);

} // namespace Pollenwind
