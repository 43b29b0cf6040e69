#pragma once

#include "Common/EnumTable.h"
#include "Peer/PeerTypes.h"

#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Side of a link. It is part of the proof, so that a proof cannot be sent back to its maker.
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

/// Makes the proof of a Hello: HMAC-SHA256 over both nonces and everything the Hello states.
/// @param hello The Hello of the side that proves itself.
/// @param otherNonce Nonce that the other side chose for this connection.
std::string makeProof(std::string_view secret, LinkSide side, const PeerHello& hello, std::string_view otherNonce);

/// Checks the proof of a received Hello in constant time.
bool isProofValid(std::string_view secret, LinkSide side, const PeerHello& hello, std::string_view otherNonce);

/// Highest protocol version that both sides speak.
/// @return Nothing when there is none.
std::optional<std::uint16_t> negotiateVersion(const PeerHello& a, const PeerHello& b);

} // namespace Pollenwind
