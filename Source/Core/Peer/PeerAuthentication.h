#pragma once

#include "Common/EnumTable.h"
#include "Peer/PeerTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Side of a link. It is part of the proof, so that a proof cannot be reflected to the side that made it.
enum class LinkSide {
    Dialer,
    Acceptor,
};

template <> struct EnumTable<LinkSide> {
    static constexpr std::array rows {
        EnumName { LinkSide::Dialer, "dialer" },
        EnumName { LinkSide::Acceptor, "acceptor" },
    };
};

/// Computes the proof of a Hello: HMAC-SHA256 over the side, both nonces, the versions and the identity.
/// @param secret The cluster secret.
/// @param side The side that authenticates itself.
/// @param hello Its Hello.
/// @param otherNonce Nonce that the other side chose for this connection.
std::string makeProof(std::string_view secret, LinkSide side, const PeerHello& hello, std::string_view otherNonce);

/// Checks the proof of a received Hello; the proofs are compared in constant time.
/// @param otherNonce Nonce that this side sent on the connection.
/// @return False also when the nonce of the received Hello is shorter than 16 bytes.
bool isProofValid(std::string_view secret, LinkSide side, const PeerHello& hello, std::string_view otherNonce);

/// Highest protocol version that both sides support.
/// @return The version, or nothing when there is none.
std::optional<std::uint16_t> negotiateVersion(const PeerHello& a, const PeerHello& b);

} // namespace Pollenwind
