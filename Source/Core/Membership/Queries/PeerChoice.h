#pragma once

#include "Membership/MemberTypes.h"

#include <string_view>
#include <vector>

namespace Pollenwind {

/// Up to this number of other VMs, a router links to all of them.
inline constexpr std::size_t fullMeshPeers = 15;
/// Number of VMs of the own zone to link to when there are more. Since others choose this VM as well, it has about
/// twice as many links.
inline constexpr std::size_t ownZonePeers = 2;

/// Region of a zone: the zone's name up to its last '/'; zones without one form a single region.
std::string_view regionOf(const ZoneId& zone);

/// Chooses the VMs to link to: all when there are few, else some of the own zone, one of each of half of the other
/// zones of the region and one of each of half of the other regions, by rendezvous hashing. The other halves choose
/// VMs of this zone, so a VM has on average 4 links in its zone, 1 with each other zone of its region and 1 with each
/// other region.
/// @param vm This VM.
/// @param zone Its zone.
/// @param members The other VMs. Gone ones are excluded; leaving ones too, unless all VMs are chosen.
std::vector<Member> choosePeers(const VmId& vm, const ZoneId& zone, const std::vector<Member>& members);

} // namespace Pollenwind
