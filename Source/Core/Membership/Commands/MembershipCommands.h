#pragma once

#include "Membership/MemberTypes.h"

namespace Pollenwind {

/// Changes the table of VMs. Unless stated otherwise, functions that return a bool return whether the change should be
/// forwarded to other routers.
class MembershipCommands {
public:
    MembershipCommands() = default;
    MembershipCommands(const MembershipCommands&) = delete;
    MembershipCommands& operator=(const MembershipCommands&) = delete;
    virtual ~MembershipCommands() = default;

    /// Updates the table from the platform's list. A list older than the last one is ignored.
    virtual void updateList(const MemberList& list) = 0;

    /// Handles a new link to a VM. An incarnation older than the known one is refused.
    /// @return False when a later incarnation of the VM, or of another VM at its address, is known.
    virtual bool onLinkUp(const VmIdentity& identity) = 0;

    /// Handles the loss of a link to a VM. Has no effect when a later incarnation is known.
    virtual void onLinkDown(const VmId& vm, Incarnation incarnation) = 0;

    /// Handles what a linked VM reports about itself.
    virtual bool onHeartbeat(const VmId& vm, Incarnation incarnation, Revision revision, bool isLeaving) = 0;

    /// Handles what a peer reports about another VM.
    virtual bool onPeerReport(const Member& reported) = 0;
};

} // namespace Pollenwind
