#pragma once

#include "Common/Clock.h"
#include "Common/Error.h"
#include "Store/StorePosition.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// What one VM told the fleet's next processes of the organisations' recent use.
struct QuotaRecord {
    /// Time of day at which the use was looked at.
    WallTime writtenAt { 0 };
    /// Era of the store that the writer knew.
    StoreEra era;
    /// Digest of the organisations' rules that the writer knew, see FleetQuota::rulesDigest(); 0 for a spent record, by
    /// which a fleet has started and whose use since is not known.
    std::uint64_t rules = 0;
    /// Hashes of the organisations in heavy use, ascending.
    std::vector<std::uint64_t> heavy;

    bool isSpent() const { return rules == 0; }

    /// Whether two records tell the same of all organisations.
    bool hasContentOf(const QuotaRecord& other) const
    {
        return era == other.era && rules == other.rules && heavy == other.heavy;
    }
};

namespace QuotaRecordCodec {

    /// Most organisations in a record. If more are in heavy use, no record is written.
    inline constexpr std::size_t maxOrganisations = 1000;

    std::string encode(const QuotaRecord& record);

    /// @return The record, or Malformed.
    Outcome<QuotaRecord> decode(std::string_view value);

} // namespace QuotaRecordCodec

} // namespace Pollenwind
