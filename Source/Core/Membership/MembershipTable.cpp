#include "Membership/MembershipTable.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Time for which a gone VM is kept in the table, because late reports about it may arrive.
    constexpr std::chrono::minutes goneRetention { 10 };

    std::optional<EventKind> eventOf(MemberState state)
    {
        switch (state) {
        case MemberState::Joining:
            return std::nullopt;
        case MemberState::Live:
            return EventKind::MemberJoined;
        case MemberState::Leaving:
            return EventKind::MemberLeaving;
        case MemberState::Suspected:
            return EventKind::MemberSuspected;
        case MemberState::Gone:
            return EventKind::MemberGone;
        }
        return std::nullopt;
    }

} // namespace

MembershipTable::MembershipTable(const Clock& clock, TimelineCommands& timeline, VmId self)
    : m_clock(clock)
    , m_timeline(timeline)
    , m_self(std::move(self))
{
}

void MembershipTable::updateList(const MemberList& list)
{
    if (list.revision < m_listRevision) {
        return;
    }
    m_listRevision = list.revision;
    for (auto& [id, entry] : m_entries) {
        const bool isListed = std::ranges::any_of(list.members, [&](const Member& it) { return it.identity.vm == id; });
        if (!isListed && entry.member.isListed) {
            markUnlisted(entry);
        }
    }
    for (const auto& it : list.members) {
        if (it.identity.vm != m_self) {
            updateListed(it);
        }
    }
    forgetOldEntries();
}

void MembershipTable::updateListed(const Member& listed)
{
    auto& entry = m_entries[listed.identity.vm];
    auto& member = entry.member;
    member.isListed = true;
    if (member.identity.incarnation.value() == 0) {
        member.identity = listed.identity;
    }
    // The list lags behind what the VM itself reports over a link.
    if (!member.isLinked && listed.state == MemberState::Leaving && member.state != MemberState::Gone) {
        setState(entry, MemberState::Leaving);
    } else if (member.state == MemberState::Gone && listed.state == MemberState::Live) {
        setState(entry, MemberState::Joining);
    }
}

void MembershipTable::markUnlisted(Entry& entry)
{
    entry.member.isListed = false;
    if (!entry.member.isLinked) {
        setState(entry, MemberState::Gone);
    }
}

bool MembershipTable::isReplacedAtAddress(const VmIdentity& identity) const
{
    return std::ranges::any_of(m_entries, [&](const auto& it) {
        const auto& known = it.second.member.identity;
        const bool isSame = known.vm == identity.vm || known.peers == identity.peers;
        return isSame && known.startedAtMicroseconds > identity.startedAtMicroseconds;
    });
}

void MembershipTable::retireOthersAtAddress(const VmIdentity& identity)
{
    for (auto& [id, entry] : m_entries) {
        if (id != identity.vm && entry.member.identity.peers == identity.peers) {
            entry.member.isLinked = false;
            setState(entry, MemberState::Gone);
        }
    }
}

bool MembershipTable::onLinkUp(const VmIdentity& identity)
{
    if (identity.vm == m_self || isReplacedAtAddress(identity)) {
        return false;
    }
    retireOthersAtAddress(identity);
    auto& entry = m_entries[identity.vm];
    const bool isSameIncarnation = entry.member.identity.incarnation == identity.incarnation;
    entry.member.identity = identity;
    entry.member.isLinked = true;
    if (!isSameIncarnation) {
        entry.member.state = MemberState::Joining;
        entry.member.revision = {};
    }
    if (!isSameIncarnation || entry.member.state != MemberState::Leaving) {
        setState(entry, MemberState::Live);
    }
    return true;
}

void MembershipTable::onLinkDown(const VmId& vm, Incarnation incarnation)
{
    const auto it = m_entries.find(vm);
    if (it == m_entries.end() || it->second.member.identity.incarnation != incarnation) {
        return;
    }
    it->second.member.isLinked = false;
    // A leaving VM closes its links when it ends.
    setState(it->second, it->second.member.state == MemberState::Leaving ? MemberState::Gone : MemberState::Suspected);
}

bool MembershipTable::onHeartbeat(const VmId& vm, Incarnation incarnation, Revision revision, bool isLeaving)
{
    const auto it = m_entries.find(vm);
    if (it == m_entries.end() || it->second.member.identity.incarnation != incarnation) {
        return false;
    }
    it->second.member.revision = revision;
    const bool isStateChange = isLeaving && it->second.member.state != MemberState::Leaving;
    if (isStateChange) {
        setState(it->second, MemberState::Leaving);
    }
    return isStateChange;
}

bool MembershipTable::onPeerReport(const Member& reported)
{
    const auto& identity = reported.identity;
    const bool isUsable = !identity.vm.value().empty() && identity.incarnation.value() != 0;
    if (!isUsable || identity.vm == m_self || reported.state == MemberState::Gone || isReplacedAtAddress(identity)) {
        return false;
    }
    auto& entry = m_entries[identity.vm];
    const bool isNewIncarnation = entry.member.identity.incarnation != identity.incarnation;
    if (isNewIncarnation) {
        retireOthersAtAddress(identity);
        entry.member.identity = identity;
        entry.member.state = MemberState::Joining;
        entry.member.isLinked = false;
        entry.member.revision = {};
    }
    const bool isNewlyLeaving = reported.state == MemberState::Leaving && entry.member.state != MemberState::Leaving
        && entry.member.state != MemberState::Gone;
    if (isNewlyLeaving) {
        setState(entry, MemberState::Leaving);
    } else if (!entry.member.isLinked && entry.member.state != MemberState::Leaving
        && entry.member.state != MemberState::Gone) {
        setState(entry, reported.state);
    }
    // Live and suspected are the reporter's own view and are not forwarded: two routers with different views would
    // overwrite each other indefinitely.
    return isNewIncarnation || isNewlyLeaving;
}

void MembershipTable::setState(Entry& entry, MemberState state)
{
    if (entry.member.state == state) {
        return;
    }
    entry.member.state = state;
    entry.goneAt = state == MemberState::Gone ? m_clock.now() : MonotonicTime { 0 };
    if (const auto kind = eventOf(state)) {
        const auto& identity = entry.member.identity;
        m_timeline.record(*kind,
            { { "vm", identity.vm.value() }, { "zone", identity.zone.value() },
                { "incarnation", std::to_string(identity.incarnation.value()) } });
    }
}

void MembershipTable::forgetOldEntries()
{
    const auto limit = m_clock.now() - goneRetention;
    std::erase_if(m_entries,
        [&](const auto& it) { return it.second.member.state == MemberState::Gone && it.second.goneAt < limit; });
}

std::vector<Member> MembershipTable::members() const
{
    std::vector<Member> members;
    members.reserve(m_entries.size());
    for (const auto& [id, entry] : m_entries) {
        members.push_back(entry.member);
    }
    return members;
}

std::optional<Member> MembershipTable::find(const VmId& vm) const
{
    const auto it = m_entries.find(vm);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.member);
}

} // namespace Pollenwind
