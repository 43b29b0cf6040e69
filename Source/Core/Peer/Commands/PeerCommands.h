#pragma once

#include "Common/Task.h"
#include "Peer/PeerTypes.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Pollenwind {

/// Sends messages to other routers and controls which links exist.
class PeerCommands {
public:
    PeerCommands() = default;
    PeerCommands(const PeerCommands&) = delete;
    PeerCommands& operator=(const PeerCommands&) = delete;
    virtual ~PeerCommands() = default;

    /// Sets the routers to keep links to; this router's own endpoint is ignored. Links that this router opened to
    /// others are closed, except those that openLink() still keeps.
    virtual void setTargets(const std::vector<Endpoint>& targets) = 0;

    /// Queues a message to a VM.
    /// @return False when there is no link to the VM or its queue is full.
    virtual bool send(const VmId& vm, const PeerMessage& message) = 0;

    /// Queues a message on every link.
    /// @param except A VM to skip, e.g. the one from which the message was received.
    /// @return The VMs for which it was queued.
    virtual std::vector<VmId> broadcast(const PeerMessage& message, const std::optional<VmId>& except) = 0;

    /// Waits for a link to a VM and opens one when there is none. It is kept for 30 s after the last call.
    /// @return True when the link is up.
    virtual Task<bool> openLink(VmId vm, Endpoint endpoint, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
