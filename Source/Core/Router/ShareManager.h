#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Limits/Commands/ShareCommands.h"
#include "Limits/ShareDecisions.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"
#include "Timeline/Commands/TimelineCommands.h"

namespace Pollenwind {

/// Dependencies of ShareManager. All references must outlive it.
struct ShareManagerContext {
    const Clock& clock;
    StoreCommands& storeCommands;
    StoreQueries& storeQueries;
    const ConfigurationQueries& configuration;
    ShareCommands& shares;
    TimelineCommands& timeline;
};

/// Claims and releases this VM's slots in the allocation record of the platform's store. Slots in use stay in use when
/// the store is down. Start it only after the peer port was bound, which proves that earlier processes at this address
/// have ended.
class ShareManager {
public:
    ShareManager(ShareManagerContext context, ShareCandidate self);

    /// Polls the record and claims or releases slots, until the process ends.
    Task<> run();

    /// Reads the record and writes one change if one is due.
    /// @return Whether the record was read.
    Task<bool> refresh();

    /// Stops using all slots and writes their release, for a graceful shutdown. When the store is down, the slots stay
    /// in the record until another VM has proof that this process has ended.
    Task<> release();

    /// Records a peer's incarnation at its address.
    void recordIncarnation(const Endpoint& peers, Incarnation incarnation, WallTime startedAt)
    {
        m_evidence.recordIncarnation(peers, incarnation, startedAt);
    }

private:
    struct StoredRecord {
        ShareRecord record;
        std::int64_t revision = 0;
    };

    Task<> readList();
    Task<std::optional<StoredRecord>> readRecord();
    std::optional<ShareRecord> chooseChange(const StoredRecord& stored);
    Task<bool> write(const StoredRecord& stored, ShareRecord next);
    /// @param isNew Whether this VM has just created the record.
    void adopt(const ShareRecord& record, std::int64_t revision, bool isNew = false);

    ShareManagerContext m_context;
    ShareCandidate m_self;
    HolderEvidence m_evidence;
    std::optional<ShareRecord> m_record;
    std::int64_t m_revision = 0;
    std::set<ShareSlotId> m_used;
    /// Slots that are no longer used and whose release is not confirmed. They are not used again when a record still
    /// shows them as held, e.g. after a lost response.
    std::set<ShareSlotId> m_pendingReleases;
    bool m_isStopping = false;
};

} // namespace Pollenwind
