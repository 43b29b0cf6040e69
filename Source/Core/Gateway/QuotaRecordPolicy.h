#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Gateway/FleetQuota.h"
#include "Gateway/Queries/TurnQueries.h"
#include "Gateway/QuotaRecord.h"

#include <optional>

namespace Pollenwind {

/// Whether a starting process uses the record of the organisations' recent use, or why not.
enum class QuotaRecordUse {
    Used,
    /// The store has no record, or an unreadable one.
    Missing,
    Old,
    /// Its time of day lies in the future: a clock is wrong.
    Future,
    /// Processes of the last seconds have started with a record, and what they gave out is not known.
    Spent,
    /// The store was restored after it was written. The copy may lack later records.
    OtherEra,
    /// The organisations or their rates, bursts or keys are others than its writer knew.
    OtherRules,
};

template <> struct EnumTable<QuotaRecordUse> {
    static constexpr std::array rows {
        EnumName { QuotaRecordUse::Used, "used" },
        EnumName { QuotaRecordUse::Missing, "missing" },
        EnumName { QuotaRecordUse::Old, "old" },
        EnumName { QuotaRecordUse::Future, "future" },
        EnumName { QuotaRecordUse::Spent, "spent" },
        EnumName { QuotaRecordUse::OtherEra, "other-era" },
        EnumName { QuotaRecordUse::OtherRules, "other-rules" },
    };
};

/// Decides when this VM writes the record of the organisations in heavy use, and whether a starting process uses it.
///
/// Load pattern that it answers: all VMs of a large fleet are restarted at once while most organisations use little of
/// their rates. Without the record each process has to assume that every organisation has just used its burst.
///
/// A VM writes only what it can know: it has watched the use for as long as a record tells of, without a pause, a jump
/// of its clock or a lost contact to a part of the fleet.
class QuotaRecordPolicy {
public:
    /// Age up to which a record is used. Usual records are written every two seconds.
    static constexpr std::chrono::seconds maxAge { 4 };
    /// Age up to which a spent record has an effect: the usual window of the quota.
    static constexpr std::chrono::seconds maxSpentAge { 8 };
    /// How far a record's time may lie in the future, since the clocks of two VMs differ.
    static constexpr std::chrono::seconds maxClockDifference { 1 };
    /// Shortest time between two writes of the fleet.
    static constexpr std::chrono::milliseconds minInterval { 1000 };
    /// Shortest time between two writes of the same content.
    static constexpr std::chrono::milliseconds repeatInterval { 2000 };
    /// Time after which the turn to write may pass to another VM, in case the present writer has just stopped.
    static constexpr std::chrono::seconds turnLength { 2 };
    /// Time for which a VM must have watched the use before it writes.
    static constexpr std::chrono::seconds watchTime { RecentUse::rememberedSeconds };
    /// Longest time between two calls of due(); this VM was paused if it took longer.
    static constexpr std::chrono::milliseconds maxLookInterval { 1000 };
    /// Smallest share of the fleet whose reports are received. A VM without contact may not know what the others take.
    static constexpr double minKnownShare = 0.9;

    explicit QuotaRecordPolicy(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Takes over the newest record that the store is known to have; nothing if it has none or an unreadable one.
    void setKnown(std::optional<QuotaRecord> record);

    /// Decides whether this VM writes the record now. To be called at regular intervals, shorter than maxLookInterval.
    /// @param era Era of the store as known here.
    /// @param reachableShare Share of the fleet, from 0 to 1, that is in contact with this VM.
    /// @return The record to be written, with the present time of day.
    std::optional<QuotaRecord> due(
        const FleetQuota& quota, const TurnQueries& turns, StoreEra era, double reachableShare);

    /// Notes that this process has started with the known record. Until the use has been watched for long enough, the
    /// record is replaced by a spent one, so that a second restart of all VMs does not use it again.
    void setStartedWithKnown() { m_startedWith = m_known; }

    /// Decides whether a starting process uses a record.
    /// @param era Era of the store that it was read from.
    /// @param rules Digest of the organisations' rules in force.
    QuotaRecordUse useOf(const std::optional<QuotaRecord>& record, StoreEra era, std::uint64_t rules) const;

private:
    /// Notes a look at the use.
    /// @return Whether the use has been watched for long enough.
    bool updateWatch(double reachableShare);
    /// Whether the known record is so new that another one would exceed the fleet's limit of writes.
    bool isKnownRecent(const QuotaRecord& next) const;

    const Clock& m_clock;
    std::optional<QuotaRecord> m_known;
    /// Record with which this process has started, until it is replaced in the store.
    std::optional<QuotaRecord> m_startedWith;
    /// Times of the last call of due(); 0 before the first.
    MonotonicTime m_lookedAt { 0 };
    WallTime m_lookedAtWall { 0 };
    /// Time since which the use has been watched without a gap.
    MonotonicTime m_watchedSince { 0 };
    /// Time of this VM's last write; 0 before the first.
    MonotonicTime m_writtenAt { 0 };
};

} // namespace Pollenwind
