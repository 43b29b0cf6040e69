#include "PlatformSoak/EvacuatedZone.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // The platform's limit: evacuate_ms of the gateways' settings.
    constexpr std::chrono::milliseconds evacuationLimit { 5000 };

} // namespace

void EvacuatedZone::begin(std::string zone)
{
    m_zone = std::move(zone);
    m_confirmedAt = std::chrono::steady_clock::now();
    // Each evacuation counts as a check, since a fleet that keeps to it sends nothing that could be checked.
    m_report.recordCheck(GatewayGuarantee::EvacuationsAreKept, true, "");
}

void EvacuatedZone::recordStoreDisturbed() { m_storeDisturbedAt = std::chrono::steady_clock::now(); }

bool EvacuatedZone::wasDisturbed(const std::string& process) const
{
    const auto name = process.substr(0, process.find('/'));
    const auto it = std::ranges::find(m_gateways, name, &GatewayProcess::name);
    return m_storeDisturbedAt >= m_confirmedAt || it == m_gateways.end() || it->lastDisturbedAt() >= m_confirmedAt;
}

void EvacuatedZone::recordArrival(const std::string& zone, const std::string& request, const std::string& process)
{
    const auto age = std::chrono::steady_clock::now() - m_confirmedAt;
    if (m_zone.empty() || zone != m_zone || age <= evacuationLimit || process.empty() || wasDisturbed(process)) {
        return;
    }
    m_report.recordCheck(GatewayGuarantee::EvacuationsAreKept, false,
        request + " from " + process + " reached zone " + zone + " "
            + std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(age).count())
            + " ms after the evacuation");
}

} // namespace Pollenwind
