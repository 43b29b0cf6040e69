#include "Membership/Queries/PeerChoice.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

namespace Pollenwind {

namespace {

    std::uint64_t rank(const VmId& self, const VmId& other)
    {
        const auto text = self.value() + '\0' + other.value();
        return XXH3_64bits(text.data(), text.size());
    }

    /// Candidates for the same links, by increasing rank.
    using Candidates = std::multimap<std::uint64_t, const Member*>;

    void takeFirst(const Candidates& candidates, std::size_t n, std::vector<Member>& chosen)
    {
        for (auto it = candidates.begin(); it != candidates.end() && n > 0; ++it, --n) {
            chosen.push_back(*it->second);
        }
    }

    /// Takes one VM of each of the groups that follow this VM's group in circular order, up to half of the groups. The
    /// groups in the other half choose VMs of this group.
    template <typename Name>
    void takeFollowing(const std::map<Name, Candidates>& groups, const Name& own, std::vector<Member>& chosen)
    {
        auto it = groups.upper_bound(own);
        for (std::size_t n = (groups.size() + 1) / 2; n > 0; --n, ++it) {
            it = it == groups.end() ? groups.begin() : it;
            takeFirst(it->second, 1, chosen);
        }
    }

} // namespace

std::string_view regionOf(const ZoneId& zone)
{
    const std::string_view name = zone.value();
    const auto slash = name.rfind('/');
    return slash == std::string_view::npos ? std::string_view() : name.substr(0, slash);
}

std::vector<Member> choosePeers(const VmId& vm, const ZoneId& zone, const std::vector<Member>& members)
{
    std::vector<Member> present;
    std::ranges::copy_if(
        members, std::back_inserter(present), [](const Member& it) { return it.state != MemberState::Gone; });
    if (present.size() <= fullMeshPeers) {
        return present;
    }
    Candidates ownZone;
    std::map<ZoneId, Candidates> zones;
    std::map<std::string_view, Candidates> regions;
    for (const auto& it : present) {
        if (it.state == MemberState::Leaving) {
            continue;
        }
        const auto& other = it.identity;
        auto& candidates = other.zone == zone        ? ownZone
            : regionOf(other.zone) == regionOf(zone) ? zones[other.zone]
                                                     : regions[regionOf(other.zone)];
        candidates.emplace(rank(vm, other.vm), &it);
    }
    std::vector<Member> chosen;
    takeFirst(ownZone, ownZonePeers, chosen);
    takeFollowing(zones, zone, chosen);
    takeFollowing(regions, regionOf(zone), chosen);
    return chosen;
}

} // namespace Pollenwind
