#include "Limits/ShareDecisions.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace Pollenwind;

namespace {

const ZoneId zone("north");

ShareCandidate candidate(int n, std::uint64_t incarnation = 1)
{
    return { VmId("vm" + std::to_string(n)), zone, Incarnation(incarnation),
        { "127.51.0." + std::to_string(n), 7000 } };
}

ShareListEntry listed(int n) { return { candidate(n).vm, zone, candidate(n).peers }; }

ShareRecord emptyRecord()
{
    ShareRecord record;
    record.layout.zones = { zone, ZoneId("south") };
    return record;
}

ShareRecord claimedBy(ShareRecord record, const ShareCandidate& self, const HolderEvidence& evidence)
{
    return claimSlots(record, self, evidence, std::max(WallTime(100), self.startedAt + WallTime(1))).value_or(record);
}

} // namespace

// Guards against a VM that claims more than its fair number of slots while the others start, and against a slot that
// stays free.
Test(ShareDecisions, vmsOfAZoneClaimOneSlotEach)
{
    HolderEvidence evidence;
    evidence.updateList(1, { listed(1), listed(2), listed(3) });
    auto record = emptyRecord();
    for (int i = 1; i <= 3; ++i) {
        record = claimedBy(record, candidate(i), evidence);
        cr_expect_eq(slotsOf(record, candidate(i)).size(), 1U);
    }
    cr_expect_eq(record.holders.size(), 3U);
    cr_expect_not(claimSlots(record, candidate(1), evidence, WallTime(0)).has_value());
}

// Guards against a takeover from a holder that may still run: one that was never listed, or that is missing only in an
// older list.
Test(ShareDecisions, takesOverOnlyWithProof)
{
    HolderEvidence evidence;
    evidence.updateList(5, { listed(2) });
    const auto record = claimedBy(emptyRecord(), candidate(1), evidence);
    cr_expect_not(evidence.findTerminationProof(record.holders.begin()->second).has_value());

    evidence.updateList(6, { listed(1), listed(2) });
    evidence.updateList(4, { listed(2) });
    cr_expect_not(evidence.findTerminationProof(record.holders.begin()->second).has_value());

    evidence.updateList(7, { listed(2) });
    cr_expect(evidence.findTerminationProof(record.holders.begin()->second) == TerminationProof::GoneFromList);
    const auto next = claimedBy(record, candidate(2), evidence);
    cr_expect(slotsOf(next, candidate(1)).empty());
    cr_expect_eq(slotsOf(next, candidate(2)).size(), 3U);
}

// Guards against slots that stay with the previous process after a restart at the same address, and against a takeover
// because of an incarnation that started before the slot was taken.
Test(ShareDecisions, newIncarnationReplacesThePreviousOne)
{
    HolderEvidence evidence;
    const auto record = claimedBy(emptyRecord(), candidate(1), evidence);
    evidence.recordIncarnation(candidate(1).peers, Incarnation(7), WallTime(50));
    cr_expect_not(evidence.findTerminationProof(record.holders.begin()->second).has_value());
    evidence.recordIncarnation(candidate(1).peers, Incarnation(8), WallTime(200));
    cr_expect(evidence.findTerminationProof(record.holders.begin()->second) == TerminationProof::NewIncarnation);

    auto restarted = candidate(1, 2);
    restarted.startedAt = WallTime(300);
    const auto next = claimedBy(record, restarted, HolderEvidence());
    cr_expect_not(claimSlots(next, candidate(1), HolderEvidence(), WallTime(400)).has_value());
    cr_expect(slotsOf(next, candidate(1)).empty());
    cr_expect_eq(slotsOf(next, candidate(1, 2)).size(), 3U);
}

// Guards against a VM that keeps surplus slots while another has none, and against one that releases slots needlessly.
Test(ShareDecisions, releasesSurplusSlots)
{
    HolderEvidence evidence;
    evidence.updateList(1, { listed(1) });
    auto record = claimedBy(emptyRecord(), candidate(1), evidence);
    cr_expect_not(surplusSlot(record, candidate(1), evidence).has_value());
    evidence.updateList(2, { listed(1), listed(2) });
    const auto slot = surplusSlot(record, candidate(1), evidence);
    cr_assert(slot.has_value());
    record = *releaseSlots(record, candidate(1), { *slot });
    cr_expect_not(surplusSlot(record, candidate(1), evidence).has_value());
    record = claimedBy(record, candidate(2), evidence);
    cr_expect_eq(slotsOf(record, candidate(2)).size(), 1U);
}
