#include "Router/KeyConfirmation.h"

#include <algorithm>
#include <functional>

namespace Pollenwind {

namespace {

    // Older contacts confirm nothing and only cost bytes in every heartbeat.
    constexpr std::chrono::seconds contactRetention { 10 };

} // namespace

KeyConfirmation::KeyConfirmation(const Clock& clock, ZoneId zone, const ConfigurationQueries& configuration,
    const MembershipQueries& members, KeyCommands& keys)
    : m_clock(clock)
    , m_zone(std::move(zone))
    , m_configuration(configuration)
    , m_members(members)
    , m_keys(keys)
{
}

void KeyConfirmation::noteHeartbeat(const ZoneId& peerZone, MonotonicTime provenAt, const PeerHeartbeat& heartbeat)
{
    if (heartbeat.keyAge < contactRetention) {
        m_keys.confirm(provenAt - heartbeat.keyAge);
    }
    noteContact(peerZone, provenAt);
    for (const auto& it : heartbeat.zones) {
        if (it.age < contactRetention) {
            noteContact(it.zone, provenAt - it.age);
        }
    }
    confirmByMajority();
}

void KeyConfirmation::noteContact(const ZoneId& zone, MonotonicTime at)
{
    auto& known = m_contacts[zone];
    known = std::max(known, at);
}

bool KeyConfirmation::isAloneInZone() const
{
    return std::ranges::none_of(m_members.members(),
        [this](const Member& it) { return it.identity.zone == m_zone && it.state != MemberState::Gone; });
}

void KeyConfirmation::confirmByMajority()
{
    const auto configuration = m_configuration.current();
    const auto& zones = configuration->document.zones;
    std::vector<MonotonicTime> times;
    for (const auto& zone : zones) {
        const auto it = m_contacts.find(zone);
        if (zone == m_zone && zones.size() > 1 && isAloneInZone()) {
            times.push_back(m_clock.now());
        } else if (it != m_contacts.end()) {
            // Where the own zone has other VMs, one of them must be in contact: a withdrawal counts as having reached
            // a zone without the VMs that are suspected, and this VM may be one of those.
            times.push_back(it->second);
        }
    }
    const auto majority = zones.size() / 2 + 1;
    if (zones.empty() || times.size() < majority) {
        return;
    }
    std::ranges::sort(times, std::greater());
    m_keys.confirm(times[majority - 1]);
}

std::vector<ZoneAge> KeyConfirmation::zoneAges() const
{
    std::vector<ZoneAge> ages;
    for (const auto& [zone, at] : m_contacts) {
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - at);
        if (age < contactRetention) {
            ages.push_back({ zone, age });
        }
    }
    return ages;
}

} // namespace Pollenwind
