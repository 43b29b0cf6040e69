#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace Pollenwind {

/// Identifies a slot, the unit of allocation: an equal part of every organisation's rate and burst. The slots that a VM
/// holds are its share; it admits requests and lends tokens from them.
struct ShareSlotId {
    ZoneId zone;
    std::uint32_t group = 0;
    std::uint32_t index = 0;

    auto operator<=>(const ShareSlotId&) const = default;
};

/// Incarnation of a VM that holds a slot.
struct ShareHolder {
    VmId vm;
    Incarnation incarnation;
    /// Address at which the holder accepts peer links. Binding its port proves that earlier processes there have ended.
    Endpoint peers;
    /// Time at which the slot was taken, by the holder's wall clock.
    WallTime since { 0 };

    bool operator==(const ShareHolder&) const = default;
};

/// Division of every organisation's rate and burst into slots. All slots carry equal fractions, whichever VM holds
/// them, so routers that use different revisions of the record never exceed the organisation's total.
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
