#pragma once

#include "Common/HybridClock.h"
#include "Keys/KeyTypes.h"
#include "Limits/GrantTypes.h"
#include "Membership/MemberTypes.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Pollenwind {

/// Protocol version spoken by this release and the oldest one it still understands.
inline constexpr std::uint16_t peerProtocolVersion = 2;
inline constexpr std::uint16_t oldestPeerProtocolVersion = 1;

/// First frame of both sides; the dialing side sends a second one, which carries its proof.
struct PeerHello {
    std::uint16_t minVersion = oldestPeerProtocolVersion;
    std::uint16_t maxVersion = peerProtocolVersion;
    VmIdentity identity;
    /// Random bytes that the other side's proof must cover.
    std::string nonce;
    /// HMAC-SHA256 with the cluster secret; empty in the dialing side's first frame.
    std::string proof;
};

/// Age of a zone that is not in contact, and the largest age that a heartbeat carries.
inline constexpr std::chrono::milliseconds zoneNotInContact { 65'535 };

/// State of a router, sent every half second.
struct PeerHeartbeat {
    Incarnation incarnation;
    Revision revision;
    /// Digest of the sender's whole key table.
    std::uint64_t keyDigest = 0;
    /// Age of the sender's key confirmation.
    std::chrono::milliseconds keyAge { std::chrono::milliseconds::max() };
    /// Ages of the last proof that each zone is in contact, in the order of the zones of the configuration with this
    /// revision. Without the names, 15 zones take 30 bytes.
    std::vector<std::chrono::milliseconds> zoneAges;
    bool isLeaving = false;
    HybridTime time;
    /// Sender's monotonic clock in nanoseconds.
    std::int64_t sentAt = 0;
    /// Latest sentAt that the sender received on this link; 0 before the first. It proves that this heartbeat was
    /// sent after that one, so bytes that waited in a buffer while the receiver was paused are recognised as old.
    std::int64_t echo = 0;
};

/// Asks for the configuration when it is higher than a revision.
struct ConfigurationRequest {
    Revision above;
};

struct ConfigurationReply {
    Revision revision;
    std::string document;
};

/// Key records.
struct KeyNotice {
    /// Set when the sender waits for an acknowledgement; 0 otherwise.
    std::uint64_t notice = 0;
    std::vector<KeyRecord> keys;
    /// With isTableComplete, digest of the table whose last records these are.
    std::uint64_t coveredDigest = 0;
    bool isTableComplete = false;
};

struct KeyAck {
    std::uint64_t notice = 0;
};

struct KeyTableRequest { };

/// VMs as the sender sees them.
struct MembershipUpdate {
    std::vector<Member> members;
};

struct PeerGrantRequest {
    std::uint64_t request = 0;
    GrantRequest wanted;
};

struct PeerGrantReply {
    std::uint64_t request = 0;
    GrantReply reply;
};

struct PeerGrantSettle {
    GrantSettlement settlement;
};

/// A kind that this release does not know. It is ignored.
struct UnknownMessage { };

using PeerMessage = std::variant<UnknownMessage, PeerHello, PeerHeartbeat, ConfigurationRequest, ConfigurationReply,
    KeyNotice, KeyAck, KeyTableRequest, MembershipUpdate, PeerGrantRequest, PeerGrantReply, PeerGrantSettle>;

} // namespace Pollenwind
