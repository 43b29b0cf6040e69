#pragma once

#include "Common/EnumTable.h"
#include "Limits/ShareTypes.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Pollenwind {

/// Proof that the holder of a slot no longer spends from it.
enum class TerminationProof {
    /// A new incarnation has bound the holder's peer address.
    NewIncarnation,
    /// An earlier revision of the platform's VM list contained the VM, and a later one does not.
    GoneFromList,
};

template <> struct EnumTable<TerminationProof> {
    static constexpr std::array rows {
        EnumName { TerminationProof::NewIncarnation, "new-incarnation" },
        EnumName { TerminationProof::GoneFromList, "gone-from-list" },
    };
};

/// This VM, as a candidate for shares. Its peer port must be bound.
struct ShareCandidate {
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
    Endpoint peers;
    /// Start of this process, by the VM's wall clock.
    WallTime startedAt { 0 };
};

/// Entry of the platform's VM list, with the fields that slot allocation needs.
struct ShareListEntry {
    VmId vm;
    ZoneId zone;
    Endpoint peers;
    bool isLeaving = false;
};

/// Evidence, from the platform's VM list and from peer links, that slot holders have ended.
class HolderEvidence {
public:
    /// Replaces the known VM list. A list that is not newer than the known one is ignored.
    void updateList(std::int64_t revision, std::vector<ShareListEntry> vms);

    /// Records an incarnation that has bound a peer address.
    /// @param startedAt Start of its process, by that VM's wall clock.
    void recordIncarnation(const Endpoint& peers, Incarnation incarnation, WallTime startedAt);

    /// @return The proof that a holder has ended, or nothing while it may still run.
    std::optional<TerminationProof> findTerminationProof(const ShareHolder& holder) const;

    /// @return VMs of a zone that are in the list and not leaving.
    std::set<VmId> liveVms(const ZoneId& zone) const;

private:
    struct ProcessStart {
        Incarnation incarnation;
        WallTime startedAt { 0 };
    };

    std::int64_t m_listRevision = -1;
    std::vector<ShareListEntry> m_listed;
    /// VMs that were in some list, by id and address.
    std::set<std::pair<VmId, Endpoint>> m_everListed;
    std::map<Endpoint, ProcessStart> m_latestStarts;
};

/// Slots of the record that this incarnation holds.
std::set<ShareSlotId> slotsOf(const ShareRecord& record, const ShareCandidate& self);

/// Largest number of slots of its zone that a VM may hold while other VMs of the zone have none.
std::size_t fairSlotCount(const ShareRecord& record, const ShareCandidate& self, const HolderEvidence& evidence);

/// Frees slots of holders that are proven to have ended, and claims free slots of this VM's zone up to fairSlotCount().
/// @param since Wall time written into claims.
/// @return The changed record, or nothing when there is nothing to change.
std::optional<ShareRecord> claimSlots(
    const ShareRecord& record, const ShareCandidate& self, const HolderEvidence& evidence, WallTime since);

/// Chooses a slot to release, if this VM holds more than fairSlotCount() and a live VM of the zone holds none. The
/// caller must stop using the slot before it writes the release.
std::optional<ShareSlotId> surplusSlot(
    const ShareRecord& record, const ShareCandidate& self, const HolderEvidence& evidence);

/// Removes this incarnation from slots.
/// @return The changed record, or nothing when it holds none of them.
std::optional<ShareRecord> releaseSlots(
    const ShareRecord& record, const ShareCandidate& self, const std::set<ShareSlotId>& slots);

} // namespace Pollenwind
