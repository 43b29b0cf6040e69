#pragma once

#include "Membership/MemberTypes.h"

#include <string_view>
#include <vector>

namespace Pollenwind {

/// Largest number of other VMs to which a router links without a choice.
inline constexpr std::size_t fullMeshPeers = 15;
/// Links to VMs of the own zone when there are more.
inline constexpr std::size_t ownZonePeers = 4;

/// Region of a zone: the zone's name up to its last '/'; zones without one form a single region.
std::string_view regionOf(const ZoneId& zone);

/// Chooses the VMs to link to: all when there are few, else some of the own zone, one of each other zone of the
/// region and one of each other region, by rendezvous hashing.
/// @param vm This VM.
/// @param zone Its zone.
/// @param members The other VMs. Those gone, and in a choice also those leaving, are left out.
std::vector<Member> choosePeers(const VmId& vm, const ZoneId& zone, const std::vector<Member>& members);

} // namespace Pollenwind
