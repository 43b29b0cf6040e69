#include "Router/KeyConfirmation.h"

#include <algorithm>
#include <functional>

namespace Pollenwind {

namespace {

    // Contacts older than this confirm nothing.
    constexpr std::chrono::seconds contactRetention { 10 };
    // A contact up to this age is recent enough to confirm the key table.
    constexpr std::chrono::seconds recentContact { 1 };

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

void KeyConfirmation::onHeartbeat(const ZoneId& peerZone, MonotonicTime provenAt, const PeerHeartbeat& heartbeat)
{
    if (heartbeat.keyAge < contactRetention) {
        m_keys.confirm(provenAt - heartbeat.keyAge);
    }
    recordContact(peerZone, provenAt);
    const auto configuration = m_configuration.current();
    const auto& zones = configuration->document.zones;
    // Routers with the same revision have the same list of zones.
    if (heartbeat.revision == configuration->revision && heartbeat.zoneAges.size() == zones.size()) {
        for (std::size_t i = 0; i < zones.size(); ++i) {
            if (heartbeat.zoneAges[i] < contactRetention) {
                recordContact(zones[i], provenAt - heartbeat.zoneAges[i]);
            }
        }
    }
    confirmByMajority();
}

void KeyConfirmation::recordContact(const ZoneId& zone, MonotonicTime at)
{
    auto& known = m_contacts[zone];
    known = std::max(known, at);
}

bool KeyConfirmation::isAloneInZone() const
{
    return std::ranges::none_of(m_members.members(),
        [this](const Member& it) { return it.identity.zone == m_zone && it.state != MemberState::Gone; });
}

std::optional<MonotonicTime> KeyConfirmation::contactWith(const ZoneId& zone) const
{
    const auto it = m_contacts.find(zone);
    const auto contact = it == m_contacts.end() ? std::nullopt : std::optional(it->second);
    // If the own zone has other VMs, there must be contact with one of them: a withdrawal counts as having reached a
    // zone once all VMs that are not suspected have it, and this VM may be a suspected one.
    if (zone == m_zone && (!contact || m_clock.now() - *contact > recentContact) && isAloneInZone()) {
        return m_clock.now();
    }
    return contact;
}

void KeyConfirmation::confirmByMajority()
{
    const auto configuration = m_configuration.current();
    const auto& zones = configuration->document.zones;
    // With a single zone this VM's own zone would always be a majority.
    if (zones.size() < 2) {
        return;
    }
    std::vector<MonotonicTime> times;
    for (const auto& zone : zones) {
        if (const auto contact = contactWith(zone)) {
            times.push_back(*contact);
        }
    }
    const auto majority = zones.size() / 2 + 1;
    if (times.size() >= majority) {
        std::ranges::sort(times, std::greater());
        m_keys.confirm(times[majority - 1]);
    }
}

std::vector<std::chrono::milliseconds> KeyConfirmation::zoneAges() const
{
    std::vector<std::chrono::milliseconds> ages;
    for (const auto& zone : m_configuration.current()->document.zones) {
        const auto it = m_contacts.find(zone);
        ages.push_back(it == m_contacts.end()
                ? zoneNotInContact
                : std::min(zoneNotInContact, std::chrono::ceil<std::chrono::milliseconds>(m_clock.now() - it->second)));
    }
    return ages;
}

} // namespace Pollenwind
