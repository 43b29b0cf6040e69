#include "PlatformSoak/CrashingPart.h"

namespace Pollenwind {

namespace {

    constexpr unsigned crashesUntilKnown = 5;
    /// Time in which VMs that reach each other learn what one of them has seen.
    constexpr std::chrono::milliseconds contactTime { 3000 };
    constexpr unsigned maxLateArrivals = 3;
    constexpr std::uint64_t minSample = 20;

} // namespace

bool CrashingPart::begin()
{
    if (isActive()) {
        return false;
    }
    m_id = "dead" + std::to_string(++m_parts);
    m_crashes = 0;
    m_lateArrivals = 0;
    return true;
}

bool CrashingPart::isIn(std::string_view prefix) const
{
    return isActive() && prefix.find("," + m_id + ":") != std::string_view::npos;
}

void CrashingPart::recordCrash()
{
    if (++m_crashes == crashesUntilKnown) {
        m_knownFrom = std::chrono::steady_clock::now();
    }
}

bool CrashingPart::wasDisturbed(std::size_t gateway, Time at) const
{
    return at < m_gateways[gateway].lastDisturbedAt() + contactTime;
}

void CrashingPart::recordArrival(const std::string& request)
{
    const auto now = std::chrono::steady_clock::now();
    const bool isKnown = m_crashes >= crashesUntilKnown && now > m_knownFrom + contactTime;
    if (!isKnown || wasDisturbed(m_gatewayOf.at(request), now)) {
        return;
    }
    ++m_lateArrivals;
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_knownFrom).count();
    m_report.recordCheck(GatewayGuarantee::CrashingPartsStop, m_lateArrivals <= maxLateArrivals,
        request + " reached a runner " + std::to_string(late) + " ms after the fifth crash, as number "
            + std::to_string(m_lateArrivals));
}

void CrashingPart::recordSound(Time sentAt, std::size_t gateway, bool isServed)
{
    if (wasDisturbed(gateway, sentAt)) {
        return;
    }
    const bool isDuring = isActive() && m_crashes >= crashesUntilKnown && sentAt > m_knownFrom + 2 * contactTime;
    if (isActive() && !isDuring) {
        return;
    }
    auto& tally = isDuring ? m_during : m_otherwise;
    ++tally.sent;
    tally.served += isServed ? 1 : 0;
}

void CrashingPart::checkSoundRequests()
{
    if (m_during.sent < minSample || m_otherwise.sent < minSample) {
        return;
    }
    m_report.recordCheck(GatewayGuarantee::SoundRequestsAreServed, 2 * m_during.share() >= m_otherwise.share(),
        std::to_string(m_during.served) + " of " + std::to_string(m_during.sent) + " were served, otherwise "
            + std::to_string(m_otherwise.served) + " of " + std::to_string(m_otherwise.sent));
}

} // namespace Pollenwind
