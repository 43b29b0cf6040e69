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

/// Newest protocol version of this release and the oldest version it still supports.
inline constexpr std::uint16_t peerProtocolVersion = 2;
inline constexpr std::uint16_t oldestPeerProtocolVersion = 1;

/// First frame of both sides. The dialing side sends a second one with its proof, since it must know the other side's
/// nonce first.
struct PeerHello {
    std::uint16_t minVersion = oldestPeerProtocolVersion;
    std::uint16_t maxVersion = peerProtocolVersion;
    VmIdentity identity;
    /// Random bytes, new for each connection, that the other side's proof must cover.
    std::string nonce;
    /// HMAC-SHA256 with the cluster secret, see makeProof(); empty in the dialing side's first frame.
    std::string proof;
};

/// Zone age that means "not in contact". It is also the largest age that a heartbeat can carry.
inline constexpr std::chrono::milliseconds zoneNotInContact { 65'535 };

/// State of a router, sent on each link at every heartbeat interval.
struct PeerHeartbeat {
    Incarnation incarnation;
    Revision revision;
    /// Digest of the sender's whole key table.
    std::uint64_t keyDigest = 0;
    /// Time since the sender last confirmed that its key table is up to date.
    std::chrono::milliseconds keyAge { std::chrono::milliseconds::max() };
    /// Time since the last proof of contact with each zone, in the order of the zones of the configuration with this
    /// revision. Zone names are not sent, so that 15 zones take 30 bytes.
    std::vector<std::chrono::milliseconds> zoneAges;
    bool isLeaving = false;
    HybridTime time;
    /// Sender's monotonic clock in nanoseconds.
    std::int64_t sentAt = 0;
    /// Latest sentAt that the sender received on this link; 0 before the first. It proves that this heartbeat was
    /// sent after that one, so the receiver can recognise heartbeats that were buffered while it was paused.
    std::int64_t echo = 0;
};

/// Requests the configuration.
struct ConfigurationRequest {
    /// Revision of the requester; only a higher one is sent.
    Revision above;
};

struct ConfigurationReply {
    Revision revision;
    std::string document;
};

/// Key records: changes, or one part of a key table that was requested.
struct KeyNotice {
    /// Id for the acknowledgement; 0 when the sender does not wait for one.
    std::uint64_t notice = 0;
    std::vector<KeyRecord> keys;
    /// With isTableComplete, digest of the table that was sent.
    std::uint64_t coveredDigest = 0;
    /// True in the last notice of a requested key table.
    bool isTableComplete = false;
};

/// Acknowledges a KeyNotice.
struct KeyAck {
    /// Id of the notice.
    std::uint64_t notice = 0;
};

/// Requests the whole key table, which arrives as one or more KeyNotice messages.
struct KeyTableRequest { };

/// VMs with their states as the sender knows them.
struct MembershipUpdate {
    std::vector<Member> members;
};

/// Requests tokens from the share of the receiving VM.
struct PeerGrantRequest {
    /// Id that the reply repeats.
    std::uint64_t request = 0;
    GrantRequest wanted;
};

/// Reply to a PeerGrantRequest.
struct PeerGrantReply {
    /// Id of the request.
    std::uint64_t request = 0;
    GrantReply reply;
};

/// Ends a grant early and returns its unspent tokens. There is no reply.
struct PeerGrantSettle {
    GrantSettlement settlement;
};

/// A message of a kind that this release does not know. It is ignored.
struct UnknownMessage { };

using PeerMessage = std::variant<UnknownMessage, PeerHello, PeerHeartbeat, ConfigurationRequest, ConfigurationReply,
    KeyNotice, KeyAck, KeyTableRequest, MembershipUpdate, PeerGrantRequest, PeerGrantReply, PeerGrantSettle>;

} // namespace Pollenwind
