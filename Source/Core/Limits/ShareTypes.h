#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace Pollenwind {

/// One share in the allocation record.
struct ShareSlotId {
    ZoneId zone;
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const ShareSlotId&) const = default;
};

/// One life of a VM, as a holder of shares.
struct ShareHolder {
    VmId vm;
    Incarnation incarnation;
    /// Where the holder accepts peer links. Binding this port proves that earlier processes there have ended.
    Endpoint peers;
    /// When the slot was taken, by the holder's wall clock.
    WallTime since { 0 };

    bool operator==(const ShareHolder&) const = default;
};

/// Division of every organisation's rate and burst. Slots carry equal fractions, whoever holds them, so that routers
/// with different revisions of the record never add up to more than the whole.
struct ShareLayout {
    std::uint32_t number = 1;
    std::vector<ZoneId> zones;
    /// Groups of slots in each zone; an organisation belongs to the same group in every zone.
    std::uint32_t groups = 1;

    static constexpr std::uint32_t slotsPerGroup = 3;

    /// Fraction of an organisation's rate and burst that one slot carries.
    double slotFraction() const
    {
        return zones.empty() ? 0 : 1.0 / (slotsPerGroup * static_cast<double>(zones.size()));
    }
    bool operator==(const ShareLayout&) const = default;
};

/// The allocation record: which VM holds which slot. A slot without a holder is free.
struct ShareRecord {
    ShareLayout layout;
    std::map<ShareSlotId, ShareHolder> holders;

    bool operator==(const ShareRecord&) const = default;
};

/// Group of an organisation; the same on every VM.
std::uint32_t shareGroupOf(const OrganisationId& organisation, const ShareLayout& layout);

} // namespace Pollenwind
