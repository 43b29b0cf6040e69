#pragma once

#include "Common/Clock.h"
#include "Common/Task.h"
#include "Gateway/Commands/QuarantineCommands.h"
#include "Gateway/Commands/QuarantineRecordCommands.h"
#include "Gateway/Queries/QuarantineQueries.h"
#include "Gateway/Queries/TurnQueries.h"
#include "Gateway/StoreEraTracker.h"
#include "Store/Commands/StoreCommands.h"

#include <map>
#include <optional>

namespace Pollenwind {

/// Keeps the quarantined parts in the store under a lease, for VMs that start. One VM of the fleet writes each record:
/// once when the part is quarantined, after each trial, when half of its lease has passed while requests with the part
/// still come, and when the quarantine is lifted.
///
/// When the store comes back from a copy, what this VM knows goes before the records, which are corrected like any that
/// differ from the quarantine. A VM that starts after the restore takes over the records.
class QuarantineRecords final : public QuarantineRecordCommands {
public:
    static constexpr std::chrono::seconds recordTimeToLive { 600 };
    /// Records written in one round, so that many parts do not use up the store's write rate.
    static constexpr std::size_t maxWrites = 4;

    QuarantineRecords(const Clock& clock, StoreCommands& store, QuarantineCommands& commands,
        const QuarantineQueries& quarantine, const TurnQueries& turns);

    static std::string keyOf(PartId part);
    static std::string encode(const PartRecord& record);
    static std::optional<PartRecord> decode(const std::string& key, const std::string& value);

    void updateRecord(const std::string& key, const std::string& value, std::int64_t revision) override;
    void markRecordErased(const std::string& key) override;
    void endRead(std::int64_t position) override;

    /// Writes the records that are due, indefinitely.
    Task<> run();
    /// Writes the records that are due for this VM now.
    Task<> writeDue();

private:
    struct Stored {
        PartRecord record;
        std::int64_t revision = 0;
        MonotonicTime writtenAt { 0 };
    };

    void updateEra(std::int64_t position);
    /// Whether a record of the copy from which the store was restored is older than what this VM knows.
    bool isOutdated(const PartRecord& record) const;
    /// Records that differ from the quarantine.
    std::vector<PartRecord> dueRecords() const;
    Task<bool> write(PartRecord record);

    const Clock& m_clock;
    StoreCommands& m_store;
    QuarantineCommands& m_commands;
    const QuarantineQueries& m_quarantine;
    const TurnQueries& m_turns;
    std::map<PartId, Stored> m_stored;
    StoreEraTracker m_era;
    /// Whether the store was restored and its records have not all been read since.
    bool m_isCopyUnread = false;
};

} // namespace Pollenwind
