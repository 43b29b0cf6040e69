#pragma once

#include "Gateway/CacheDirectory.h"
#include "Gateway/Commands/QuarantineCommands.h"
#include "Gateway/Commands/RolloutCommands.h"
#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/FleetQuota.h"
#include "Gateway/FleetReportCodec.h"
#include "Gateway/FleetView.h"
#include "Gateway/Queries/RolloutQueries.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/Queries/ZoneWorkQueries.h"
#include "Gateway/RunnerPace.h"
#include "Gateway/WeightsDriver.h"
#include "Gateway/ZoneRelay.h"
#include "Gateway/ZoneWorkSources.h"
#include "Metrics/Commands/MetricCommands.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace Pollenwind {

/// Dependencies of the reporter: the sources of its reports and the targets of received ones.
struct FleetReporterContext {
    FleetView& fleet;
    FleetQuota& quota;
    const RunnerQueries& runners;
    RunnerCommands& runnerCommands;
    const WeightsDriver& weights;
    CacheDirectory& directory;
    MetricCommands& metrics;
    QuarantineCommands& quarantine;
    const RolloutQueries& rollouts;
    RolloutCommands& rolloutCommands;
    const ZoneWorkQueries& zoneWork;
    RunnerPace& pace;
};

/// Exchanges reports with the other VMs over UDP: tokens taken, work at the runners, cached prefixes, loads of weights
/// and failures of runners, parts of prompts that crash them. Usage and work are sent as totals, so that the next
/// report makes up for a lost one. Loads and failures are in several reports. A lost update of cached prefixes is
/// repeated after half of their retention.
///
/// In a small fleet each VM reports to all others. In a larger one a VM reports to its own zone, and one relay in each
/// zone sends the sum of the zone's usage, its cached prefixes and replaced runners to the other zones. Reports for
/// another zone, loads of weights included, go to two of its VMs, which pass them on to the rest, so that the traffic
/// between zones does not depend on the number of VMs.
class FleetReporter {
public:
    FleetReporter(const asio::any_io_executor& executor, FleetReporterContext context, VmId vm, ZoneId zone,
        Incarnation incarnation);

    /// Binds the UDP port.
    Outcome<void> listen(const Endpoint& endpoint);

    /// Sets whether the relay's sums include the work of its zone and the pauses of its streams.
    void setSharesZoneWork(bool sharesZoneWork) { m_sharesZoneWork = sharesZoneWork; }
    /// Number of other zones whose work at the runners is known.
    std::size_t zonesWithKnownWork() const { return m_zoneWork.zones(); }

    /// Sends reports indefinitely.
    Task<> send();
    /// Sends the next report without waiting for the interval.
    void sendSoon() { m_timer.cancel(); }
    /// Receives reports until the socket is closed.
    Task<> receive();

private:
    Task<> sendTo(std::vector<Endpoint> endpoints, FleetReport report);
    /// Sends a report to entry points of the other zones, which pass it on.
    Task<> sendToOtherZones(FleetReport report);
    Task<> sendBytes(std::vector<Endpoint> endpoints, std::string bytes);
    /// Sends the sums of the zone to the other zones, if this VM is its zone's relay.
    Task<> relayZone(
        std::vector<CachedPrefix> zoneUpdates, std::vector<TargetWeightsAge> targetAges, RunnerFailures failures);
    void recordSilentVms();
    void updateRelay();
    std::chrono::nanoseconds uptime() const { return std::chrono::steady_clock::now() - m_startedAt; }
    Task<> handleReport(std::string_view bytes);
    void recordWork(const FleetReport& report);
    void dropZoneWork(const VmId& workId);

    FleetReporterContext m_context;
    VmId m_vm;
    ZoneId m_zone;
    Incarnation m_incarnation;
    ZoneRelay m_relay;
    ZoneWorkSources m_zoneWork;
    bool m_sharesZoneWork = false;
    std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_sequence = 0;
    /// Number of reports sent to other zones.
    std::uint64_t m_round = 0;
};

} // namespace Pollenwind
