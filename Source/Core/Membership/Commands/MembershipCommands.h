#pragma once

#include "Membership/MemberTypes.h"

namespace Pollenwind {

/// Changes the table of VMs. The functions that return a bool tell whether other routers should hear of the change.
class MembershipCommands {
public:
    MembershipCommands() = default;
    MembershipCommands(const MembershipCommands&) = delete;
    MembershipCommands& operator=(const MembershipCommands&) = delete;
    virtual ~MembershipCommands() = default;

    /// Takes in the platform's list. An older list than the last one is ignored.
    virtual void updateList(const MemberList& list) = 0;

    /// Notes that a link to a VM came up. An incarnation older than the known one is refused.
    /// @return False when a later incarnation of the VM, or of another VM at its address, is known.
    virtual bool onLinkUp(const VmIdentity& identity) = 0;

    /// Notes that the link to a VM is gone. Has no effect when a later incarnation is known.
    virtual void onLinkDown(const VmId& vm, Incarnation incarnation) = 0;

    /// Notes what a linked VM says about itself.
    virtual bool onHeartbeat(const VmId& vm, Incarnation incarnation, Revision revision, bool isLeaving) = 0;

    /// Notes what a peer says about another VM.
    virtual bool onPeerReport(const Member& reported) = 0;
};

} // namespace Pollenwind
