#pragma once

#include "Common/Task.h"
#include "Soak/Commands/FaultInjector.h"
#include "Soak/SoakClient.h"

#include <deque>
#include <map>

namespace Pollenwind {

/// Runs concurrent callers against the routers, injects random faults and checks the guarantees.
class SoakRun {
public:
    SoakRun(asio::any_io_executor executor, SoakOptions options, FaultInjector& faults);

    /// Runs for the configured duration, then checks the counters of the stand-ins and the logs of the routers.
    Task<> run();

    const SoakReport& report() const { return m_report; }

private:
    Task<> runClient(SoakClient& client);
    Task<> injectRandomFaults();
    Task<> watchRevisions();
    Task<> checkPlainRuns();
    Task<> checkKeysUpstream();
    void checkShutdowns();
    void check(SoakGuarantee guarantee, bool holds, const std::string& example);

    asio::any_io_executor m_executor;
    SoakOptions m_options;
    FaultInjector& m_faults;
    SoakReport m_report;
    SoakKeys m_keys;
    std::deque<SoakClient> m_clients;
    std::size_t m_running = 0;
    std::chrono::steady_clock::time_point m_end;
    /// Highest configuration revision reported by each incarnation of a router.
    std::map<std::string, std::int64_t> m_revisions;
};

} // namespace Pollenwind
