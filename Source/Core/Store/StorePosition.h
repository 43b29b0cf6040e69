#pragma once

#include "Common/Ids.h"

#include <cstdint>
#include <optional>

namespace Pollenwind {

/// Era of the platform's store. It rises by one each time the store comes back from an older copy, after which its
/// revisions and lease ids are given out again. 0 for a store that does not tell its era.
using StoreEra = Id<struct StoreEraTag, std::int64_t>;

/// Positions in the history of the store: an era and a revision in one number. A position of a later era is greater
/// than all positions of earlier ones, so a position never falls although revisions do.
///
/// Revisions and fencing tokens are positions everywhere but in the store's own messages. A store without
/// eras has positions that equal its revisions. Fencing tokens stay exact in JSON numbers up to era 8191.
namespace StorePosition {

    inline constexpr int revisionBits = 40;
    inline constexpr std::int64_t maxRevision = (std::int64_t { 1 } << revisionBits) - 1;
    inline constexpr std::int64_t maxEra = (std::int64_t { 1 } << (62 - revisionBits)) - 1;

    /// @param revision A revision of the era; 0, which means that a key is absent, is the same in each era.
    /// @return The position, or nothing if a number is out of range.
    constexpr std::optional<std::int64_t> encode(const StoreEra& era, std::int64_t revision)
    {
        if (revision < 0 || revision > maxRevision || era.value() < 0 || era.value() > maxEra) {
            return std::nullopt;
        }
        return revision == 0 ? 0 : (era.value() << revisionBits) + revision;
    }

    /// Revision of a position, as the store counts it.
    constexpr std::int64_t revisionOf(std::int64_t position) { return position & maxRevision; }

    constexpr StoreEra eraOf(std::int64_t position) { return StoreEra(position >> revisionBits); }

    /// Whether a position shows that the store has come back from an older copy at some time.
    constexpr bool isOfRestoredStore(std::int64_t position)
    {
        constexpr std::int64_t firstEra = 1;
        return (position >> revisionBits) > firstEra;
    }

    /// Whether a position belongs to an era that ended before another one began. 0 belongs to each era.
    constexpr bool isBefore(std::int64_t position, const StoreEra& era)
    {
        return position != 0 && eraOf(position) < era;
    }

} // namespace StorePosition

} // namespace Pollenwind
