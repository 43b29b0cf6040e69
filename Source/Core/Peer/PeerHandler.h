#pragma once

#include "Peer/PeerTypes.h"

namespace Pollenwind {

/// Decides about what peers say. The functions must not block.
class PeerHandler {
public:
    PeerHandler() = default;
    PeerHandler(const PeerHandler&) = delete;
    PeerHandler& operator=(const PeerHandler&) = delete;
    virtual ~PeerHandler() = default;

    /// Asked when a peer has proved who it is.
    /// @return False to refuse the link.
    virtual bool onLinkUp(const VmIdentity& peer) = 0;
    virtual void onLinkDown(const VmIdentity& peer) = 0;

    /// State for the next heartbeat; the link fills in sentAt and echo.
    virtual PeerHeartbeat makeHeartbeat() = 0;

    /// Takes a message of a linked peer.
    virtual void receive(const VmIdentity& peer, const PeerMessage& message) = 0;
};

} // namespace Pollenwind
