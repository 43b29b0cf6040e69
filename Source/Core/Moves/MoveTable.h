#pragma once

#include "Common/Clock.h"
#include "Moves/Commands/MoveCommands.h"
#include "Moves/Queries/MoveQueries.h"
#include "Moves/Queries/VersionEvaluator.h"
#include "Timeline/Commands/TimelineCommands.h"

#include <functional>
#include <map>

namespace Pollenwind {

/// Reports how outdated this router's copy of the shared records may be.
class RecordFreshness {
public:
    RecordFreshness() = default;
    RecordFreshness(const RecordFreshness&) = delete;
    RecordFreshness& operator=(const RecordFreshness&) = delete;
    virtual ~RecordFreshness() = default;

    /// @return Time since the shared records were last known to be complete.
    virtual std::chrono::nanoseconds age() const = 0;
};

/// Holds the moves as known to this router, and the evidence on them.
class MoveTable final : public MoveCommands, public MoveQueries {
public:
    MoveTable(const Clock& clock, const RecordFreshness& freshness, const VersionEvaluator& evaluator,
        TimelineCommands& timeline);

    void adopt(std::int64_t revision, MoveRecord record) override;
    void recordOutcome(const VersionOutcome& outcome) override;
    void setPeerEvidence(const VmId& vm, const MoveId& move, MoveEvidence evidence) override;

    VersionId versionFor(const ServiceId& service, const VersionId& configured, const RequestId& request,
        bool isIdempotent) const override;
    std::vector<KnownMove> moves() const override;
    const MoveEvidence* ownEvidence(const ServiceId& service) const override;
    MoveEvidence pooledEvidence(const ServiceId& service) const override;

private:
    struct Entry {
        KnownMove move;
        MoveEvidence own;
        std::map<VmId, MoveEvidence> peers;
        /// Set when this router's own evidence suffices to reject the new version; the router then stops using it
        /// without waiting for the move's result.
        bool isRejectedLocally = false;
        /// Time of the latest lost connection that was counted for each upstream.
        std::map<UpstreamId, MonotonicTime> lostConnections;
    };

    bool isRepeatedLoss(Entry& entry, const VersionOutcome& outcome) const;

    const Clock& m_clock;
    const RecordFreshness& m_freshness;
    const VersionEvaluator& m_evaluator;
    TimelineCommands& m_timeline;
    std::map<ServiceId, Entry> m_entries;
};

} // namespace Pollenwind
