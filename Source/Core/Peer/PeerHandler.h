#pragma once

#include "Peer/PeerTypes.h"

namespace Pollenwind {

/// Handles the events of peer links. The functions must not block.
class PeerHandler {
public:
    PeerHandler() = default;
    PeerHandler(const PeerHandler&) = delete;
    PeerHandler& operator=(const PeerHandler&) = delete;
    virtual ~PeerHandler() = default;

    /// Called when a peer has been authenticated.
    /// @return False to reject the link.
    virtual bool onLinkUp(const VmIdentity& peer) = 0;
    /// Called when a link that onLinkUp() accepted has ended and no newer link to the VM replaced it.
    virtual void onLinkDown(const VmIdentity& peer) = 0;

    /// @return The state for the next heartbeat; the link sets sentAt and echo.
    virtual PeerHeartbeat makeHeartbeat() = 0;

    /// Handles a message of a linked peer, heartbeats included.
    virtual void receive(const VmIdentity& peer, const PeerMessage& message) = 0;
};

} // namespace Pollenwind
