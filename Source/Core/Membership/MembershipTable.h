#pragma once

#include "Common/Clock.h"
#include "Membership/Commands/MembershipCommands.h"
#include "Membership/Queries/MembershipQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <map>

namespace Pollenwind {

/// Holds the table of VMs.
class MembershipTable final : public MembershipCommands, public MembershipQueries {
public:
    /// @param self This VM; reports about it are ignored.
    MembershipTable(const Clock& clock, TimelineCommands& timeline, VmId self);

    void updateList(const MemberList& list) override;
    bool onLinkUp(const VmIdentity& identity) override;
    void onLinkDown(const VmId& vm, Incarnation incarnation) override;
    bool onHeartbeat(const VmId& vm, Incarnation incarnation, Revision revision, bool isLeaving) override;
    bool onPeerReport(const Member& reported) override;

    std::vector<Member> members() const override;
    std::optional<Member> find(const VmId& vm) const override;

private:
    struct Entry {
        Member member;
        MonotonicTime goneAt { 0 };
    };

    void updateListed(const Member& listed);
    void markUnlisted(Entry& entry);
    bool isReplacedAtAddress(const VmIdentity& identity) const;
    void retireOthersAtAddress(const VmIdentity& identity);
    void setState(Entry& entry, MemberState state);
    void forgetOldEntries();

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    VmId m_self;
    std::int64_t m_listRevision = 0;
    std::map<VmId, Entry> m_entries;
};

} // namespace Pollenwind
