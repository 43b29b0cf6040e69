#pragma once

#include "PlatformSoak/GatewayProcess.h"
#include "PlatformSoak/GatewaySoakTypes.h"

#include <deque>

namespace Pollenwind {

/// An evacuation of a zone by the operator. Checks that VMs whose way to the store was sound send nothing to the zone's
/// runners after the time in which an evacuation must take effect.
class EvacuatedZone {
public:
    using Time = std::chrono::steady_clock::time_point;

    EvacuatedZone(const std::deque<GatewayProcess>& gateways, GatewaySoakReport& report)
        : m_gateways(gateways)
        , m_report(report)
    {
    }

    /// Records that the store has confirmed the evacuation of a zone.
    void begin(std::string zone);
    /// Records that the operator is about to take the evacuation back.
    void end() { m_zone.clear(); }
    /// The evacuated zone; empty if there is none.
    const std::string& zone() const { return m_zone; }

    /// Records a disturbance of the store or of the way to it, which extends the time until an evacuation takes effect.
    void recordStoreDisturbed();
    /// Records that a request reached a runner.
    /// @param zone Zone of the runner.
    /// @param process Process that sent it: name of the VM and number of its start, separated by '/'.
    void recordArrival(const std::string& zone, const std::string& request, const std::string& process);

private:
    bool wasDisturbed(const std::string& process) const;

    const std::deque<GatewayProcess>& m_gateways;
    GatewaySoakReport& m_report;
    std::string m_zone;
    Time m_confirmedAt;
    Time m_storeDisturbedAt;
};

} // namespace Pollenwind
