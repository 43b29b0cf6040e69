#include "Membership/MembershipTable.h"
#include "Membership/Queries/PeerChoice.h"
#include "Timeline/Timeline.h"

#include <criterion/criterion.h>

#include <functional>
#include <map>
#include <set>

using namespace Pollenwind;

namespace {

VmIdentity makeIdentity(
    const std::string& vm, std::uint64_t incarnation, std::int64_t startedAt, std::uint16_t port = 1)
{
    return { VmId(vm), ZoneId("a"), Incarnation(incarnation), startedAt, { "127.50.2.1", port }, {} };
}

MemberList listOf(std::int64_t revision, std::vector<Member> members) { return { revision, std::move(members) }; }

Member listed(MemberState state) { return { makeIdentity("x", 0, 0), state }; }

struct Case {
    const char* name;
    std::function<void(MembershipTable&)> steps;
    MemberState expected;
};

} // namespace

// Guards against a VM state that is taken from the wrong source; each case names the rule that it checks.
Test(MembershipTable, statesFollowTheBestSource)
{
    const std::vector<Case> cases {
        { "the list alone does not prove that a VM runs",
            [](MembershipTable& it) { it.updateList(listOf(5, { listed(MemberState::Live) })); },
            MemberState::Joining },
        { "a linked VM is live", [](MembershipTable& it) { it.onLinkUp(makeIdentity("x", 1, 10)); },
            MemberState::Live },
        { "a lagging list does not make a linked VM leave",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.updateList(listOf(5, { listed(MemberState::Leaving) }));
            },
            MemberState::Live },
        { "a lost link is no proof that the VM has ended",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onLinkDown(VmId("x"), Incarnation(1));
            },
            MemberState::Suspected },
        { "the loss of an old incarnation's link does not affect the new incarnation",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onLinkUp(makeIdentity("x", 2, 20));
                it.onLinkDown(VmId("x"), Incarnation(1));
            },
            MemberState::Live },
        { "a leaving VM is gone once its link is lost",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onHeartbeat(VmId("x"), Incarnation(1), Revision(3), true);
                it.onLinkDown(VmId("x"), Incarnation(1));
            },
            MemberState::Gone },
        { "a restart after leaving is live again",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onHeartbeat(VmId("x"), Incarnation(1), Revision(3), true);
                it.onLinkUp(makeIdentity("x", 2, 20));
            },
            MemberState::Live },
        { "a leaving VM stays leaving when its link is re-established",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onHeartbeat(VmId("x"), Incarnation(1), Revision(3), true);
                it.onLinkUp(makeIdentity("x", 1, 10));
            },
            MemberState::Leaving },
        { "a VM that the list dropped is gone",
            [](MembershipTable& it) {
                it.updateList(listOf(5, { listed(MemberState::Live) }));
                it.updateList(listOf(6, {}));
            },
            MemberState::Gone },
        { "an older list does not drop a VM",
            [](MembershipTable& it) {
                it.updateList(listOf(5, { listed(MemberState::Live) }));
                it.updateList(listOf(4, {}));
            },
            MemberState::Joining },
        { "a report does not make a gone VM live again",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onHeartbeat(VmId("x"), Incarnation(1), Revision(3), true);
                it.onLinkDown(VmId("x"), Incarnation(1));
                it.onPeerReport({ makeIdentity("x", 1, 10), MemberState::Live });
            },
            MemberState::Gone },
        { "leaving reaches VMs without a link to the leaving one",
            [](MembershipTable& it) { it.onPeerReport({ makeIdentity("x", 1, 10), MemberState::Leaving }); },
            MemberState::Leaving },
        { "another VM at the same address replaces the older one",
            [](MembershipTable& it) {
                it.onLinkUp(makeIdentity("x", 1, 10));
                it.onLinkUp(makeIdentity("y", 2, 20));
            },
            MemberState::Gone },
    };
    for (const auto& it : cases) {
        ManualClock clock;
        Timeline timeline(clock, "test");
        MembershipTable table(clock, timeline, VmId("self"));
        it.steps(table);
        const auto member = table.find(VmId("x"));
        cr_assert(member && member->state == it.expected, "%s", it.name);
    }
}

// Guards against an old incarnation, whose messages arrive late, that replaces the new one.
Test(MembershipTable, refusesOlderIncarnations)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    MembershipTable table(clock, timeline, VmId("self"));
    cr_assert(table.onLinkUp(makeIdentity("x", 2, 20)));
    cr_assert_not(table.onLinkUp(makeIdentity("x", 1, 10)));
    cr_assert_not(table.onLinkUp(makeIdentity("y", 3, 10)));
    cr_assert_not(table.onPeerReport({ makeIdentity("x", 1, 10), MemberState::Leaving }));
    cr_assert(table.find(VmId("x"))->state == MemberState::Live);
}

// Guards against a full mesh of links at the target size, and against a link graph that is not connected.
Test(PeerChoice, isBoundedAndConnected)
{
    std::vector<Member> members;
    for (std::uint16_t i = 0; i < 375; ++i) {
        const auto zone = "r" + std::to_string(i % 5) + "/" + std::to_string(i / 5 % 3);
        members.push_back(
            { { VmId("vm" + std::to_string(i)), ZoneId(zone), {}, 0, { "127.50.3.1", i }, {} }, MemberState::Live });
    }
    std::map<VmId, std::vector<VmId>> links;
    for (const auto& self : members) {
        auto others = members;
        std::erase_if(others, [&](const Member& it) { return it.identity.vm == self.identity.vm; });
        const auto chosen = choosePeers(self.identity.vm, self.identity.zone, others);
        cr_assert_eq(chosen.size(), 5);
        for (const auto& it : chosen) {
            links[self.identity.vm].push_back(it.identity.vm);
            links[it.identity.vm].push_back(self.identity.vm);
        }
    }
    for (const auto& [vm, others] : links) {
        cr_assert_leq(others.size(), 24);
    }
    std::set<VmId> reached { VmId("vm0") };
    std::vector<VmId> edge { VmId("vm0") };
    int hops = 0;
    for (; !edge.empty(); ++hops) {
        std::vector<VmId> next;
        for (const auto& vm : edge) {
            for (const auto& other : links[vm]) {
                if (reached.insert(other).second) {
                    next.push_back(other);
                }
            }
        }
        edge = std::move(next);
    }
    cr_assert_eq(reached.size(), members.size());
    cr_assert_leq(hops - 1, 5);
    members.resize(15);
    cr_assert_eq(choosePeers(VmId("self"), ZoneId("r0/0"), members).size(), 15);
}
