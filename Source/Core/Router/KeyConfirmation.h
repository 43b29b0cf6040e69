#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Keys/Commands/KeyCommands.h"
#include "Membership/Queries/MembershipQueries.h"
#include "Peer/PeerTypes.h"

#include <map>
#include <optional>
#include <vector>

namespace Pollenwind {

/// Confirms the key table from the heartbeats of peers.
///
/// All times are those at which this router sent a heartbeat that the peer's heartbeat echoes. The peer made its
/// heartbeat after that time, and a heartbeat that was buffered while this VM was paused carries an old echo.
class KeyConfirmation {
public:
    KeyConfirmation(const Clock& clock, ZoneId zone, const ConfigurationQueries& configuration,
        const MembershipQueries& members, KeyCommands& keys);

    /// Handles a heartbeat of a peer whose key table is contained in this router's table.
    /// @param provenAt Time by this process's clock after which the heartbeat was provably made.
    void onHeartbeat(const ZoneId& peerZone, MonotonicTime provenAt, const PeerHeartbeat& heartbeat);

    /// @return Age of the last contact with each zone of the configuration, for this router's heartbeats.
    std::vector<std::chrono::milliseconds> zoneAges() const;

private:
    void recordContact(const ZoneId& zone, MonotonicTime at);
    void confirmByMajority();
    std::optional<MonotonicTime> contactWith(const ZoneId& zone) const;
    bool isAloneInZone() const;

    const Clock& m_clock;
    ZoneId m_zone;
    const ConfigurationQueries& m_configuration;
    const MembershipQueries& m_members;
    KeyCommands& m_keys;
    std::map<ZoneId, MonotonicTime> m_contacts;
};

} // namespace Pollenwind
