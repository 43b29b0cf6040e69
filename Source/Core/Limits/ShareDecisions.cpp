#include "Limits/ShareDecisions.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

namespace {

    std::uint64_t hashOf(const std::string& text) { return XXH3_64bits(text.data(), text.size()); }

    bool hasZone(const ShareRecord& record, const ZoneId& zone)
    {
        return std::find(record.layout.zones.begin(), record.layout.zones.end(), zone) != record.layout.zones.end();
    }

    std::vector<ShareSlotId> zoneSlots(const ShareRecord& record, const ZoneId& zone)
    {
        std::vector<ShareSlotId> slots;
        for (std::uint32_t index = 0; index < ShareLayout::slotsPerGroup; ++index) {
            for (std::uint32_t group = 0; group < record.layout.groups; ++group) {
                slots.push_back({ zone, group, index });
            }
        }
        return slots;
    }

    bool isOwn(const ShareHolder& holder, const ShareCandidate& self)
    {
        return holder.vm == self.vm && holder.incarnation == self.incarnation;
    }

} // namespace

std::uint32_t shareGroupOf(const OrganisationId& organisation, const ShareLayout& layout)
{
    return static_cast<std::uint32_t>(hashOf(organisation.value()) % std::max(1U, layout.groups));
}

void HolderEvidence::updateList(std::int64_t revision, std::vector<ShareListEntry> vms)
{
    if (revision <= m_listRevision) {
        return;
    }
    m_listRevision = revision;
    m_listed = std::move(vms);
    for (const auto& it : m_listed) {
        m_everListed.emplace(it.vm, it.peers);
    }
}

void HolderEvidence::recordIncarnation(const Endpoint& peers, Incarnation incarnation, WallTime startedAt)
{
    auto& latest = m_latestStarts[peers];
    if (startedAt >= latest.startedAt) {
        latest = { incarnation, startedAt };
    }
}

std::optional<TerminationProof> HolderEvidence::findTerminationProof(const ShareHolder& holder) const
{
    const auto latest = m_latestStarts.find(holder.peers);
    if (latest != m_latestStarts.end() && latest->second.incarnation != holder.incarnation
        && latest->second.startedAt > holder.since) {
        return TerminationProof::NewIncarnation;
    }
    const auto isListed = std::any_of(m_listed.begin(), m_listed.end(),
        [&](const ShareListEntry& it) { return it.vm == holder.vm && it.peers == holder.peers; });
    if (!isListed && m_everListed.contains({ holder.vm, holder.peers })) {
        return TerminationProof::GoneFromList;
    }
    return std::nullopt;
}

std::set<VmId> HolderEvidence::liveVms(const ZoneId& zone) const
{
    std::set<VmId> vms;
    for (const auto& it : m_listed) {
        if (it.zone == zone && !it.isLeaving) {
            vms.insert(it.vm);
        }
    }
    return vms;
}

std::set<ShareSlotId> slotsOf(const ShareRecord& record, const ShareCandidate& self)
{
    std::set<ShareSlotId> slots;
    for (const auto& [slot, holder] : record.holders) {
        if (isOwn(holder, self)) {
            slots.insert(slot);
        }
    }
    return slots;
}

std::size_t fairSlotCount(const ShareRecord& record, const ShareCandidate& self, const HolderEvidence& evidence)
{
    auto vms = evidence.liveVms(self.zone);
    vms.insert(self.vm);
    const std::size_t slots = static_cast<std::size_t>(record.layout.groups) * ShareLayout::slotsPerGroup;
    return (slots + vms.size() - 1) / vms.size();
}

std::optional<ShareRecord> claimSlots(
    const ShareRecord& record, const ShareCandidate& self, const HolderEvidence& evidence, WallTime since)
{
    auto next = record;
    std::erase_if(next.holders, [&](const auto& it) {
        const auto& holder = it.second;
        // This process has bound its peer port, so earlier incarnations at this address have ended. Slots of a later
        // incarnation are kept: it may have replaced this process, which is then about to end.
        const bool isPredecessor = holder.peers == self.peers && !isOwn(holder, self) && holder.since <= self.startedAt;
        return isPredecessor || evidence.findTerminationProof(holder).has_value();
    });
    if (hasZone(record, self.zone)) {
        auto slots = zoneSlots(record, self.zone);
        // VMs that claim at the same time start at different slots, so that fewer claims conflict.
        std::rotate(slots.begin(), slots.begin() + static_cast<std::ptrdiff_t>(hashOf(self.vm.value()) % slots.size()),
            slots.end());
        const auto wanted = fairSlotCount(record, self, evidence);
        auto held = slotsOf(next, self).size();
        for (const auto& slot : slots) {
            if (held < wanted && !next.holders.contains(slot)) {
                next.holders.emplace(slot, ShareHolder { self.vm, self.incarnation, self.peers, since });
                ++held;
            }
        }
    }
    return next == record ? std::nullopt : std::optional(std::move(next));
}

std::optional<ShareSlotId> surplusSlot(
    const ShareRecord& record, const ShareCandidate& self, const HolderEvidence& evidence)
{
    const auto own = slotsOf(record, self);
    if (own.size() <= fairSlotCount(record, self, evidence)) {
        return std::nullopt;
    }
    const auto slots = zoneSlots(record, self.zone);
    const auto isFree = [&](const ShareSlotId& slot) { return !record.holders.contains(slot); };
    if (std::any_of(slots.begin(), slots.end(), isFree)) {
        return std::nullopt;
    }
    auto vmsWithoutSlots = evidence.liveVms(self.zone);
    for (const auto& [slot, holder] : record.holders) {
        vmsWithoutSlots.erase(holder.vm);
    }
    return vmsWithoutSlots.empty() ? std::nullopt : std::optional(*own.rbegin());
}

std::optional<ShareRecord> releaseSlots(
    const ShareRecord& record, const ShareCandidate& self, const std::set<ShareSlotId>& slots)
{
    auto next = record;
    std::erase_if(next.holders, [&](const auto& it) { return slots.contains(it.first) && isOwn(it.second, self); });
    return next == record ? std::nullopt : std::optional(std::move(next));
}

} // namespace Pollenwind
