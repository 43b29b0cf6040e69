#pragma once

#include "Common/Task.h"
#include "Peer/PeerTypes.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

namespace Pollenwind {

/// Sends to other routers and decides which links exist.
class PeerCommands {
public:
    PeerCommands() = default;
    PeerCommands(const PeerCommands&) = delete;
    PeerCommands& operator=(const PeerCommands&) = delete;
    virtual ~PeerCommands() = default;

    /// Sets the routers to keep links to. Links that this router opened to others are closed.
    virtual void setTargets(const std::vector<Endpoint>& targets) = 0;

    /// Queues a message.
    /// @return False when there is no link to the VM or its queue is full.
    virtual bool send(const VmId& vm, const PeerMessage& message) = 0;

    /// Queues a message on every link.
    /// @param except A VM that does not need it, e.g. the one it came from.
    /// @return The VMs to which it was queued.
    virtual std::vector<VmId> broadcast(const PeerMessage& message, const std::optional<VmId>& except) = 0;

    /// Waits for a link to a VM and opens one on demand; it is kept for some time after its last use.
    /// @return True when the link is up.
    virtual Task<bool> openLink(VmId vm, Endpoint endpoint, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
