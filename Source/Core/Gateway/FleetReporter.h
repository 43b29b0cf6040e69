#pragma once

#include "Gateway/CacheDirectory.h"
#include "Gateway/Commands/RunnerCommands.h"
#include "Gateway/FleetQuota.h"
#include "Gateway/FleetReportCodec.h"
#include "Gateway/FleetView.h"
#include "Gateway/Queries/RunnerQueries.h"
#include "Gateway/WeightsDriver.h"
#include "Metrics/Commands/MetricCommands.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <string>

namespace Pollenwind {

/// What the reporter tells and changes.
struct FleetReporterContext {
    FleetView& fleet;
    FleetQuota& quota;
    const RunnerQueries& runners;
    RunnerCommands& runnerCommands;
    const WeightsDriver& weights;
    CacheDirectory& directory;
    MetricCommands& metrics;
};

/// Exchanges datagrams with the other VMs: tokens taken, work at the runners, loads of weights. A lost datagram is made
/// good by the next, since each holds the whole state.
///
/// A small fleet is a full mesh. In a larger one a VM reports to its own zone, and one relay in each zone sends the
/// zone's use of the rates to the others, so that the bytes between zones grow with the VMs and not with their square.
class FleetReporter {
public:
    FleetReporter(const asio::any_io_executor& executor, FleetReporterContext context, VmId vm, ZoneId zone,
        Incarnation incarnation);

    /// Binds the port.
    Outcome<void> listen(const Endpoint& endpoint);

    /// Sends reports for the life of the process.
    Task<> send();
    /// Sends the next report at once.
    void sendSoon() { m_timer.cancel(); }
    /// Takes reports for the life of the process.
    Task<> receive();

private:
    Task<> sendTo(std::vector<Endpoint> endpoints, FleetReport report);
    void handleReport(std::string_view bytes);

    FleetReporterContext m_context;
    VmId m_vm;
    ZoneId m_zone;
    Incarnation m_incarnation;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_sequence = 0;
};

} // namespace Pollenwind
