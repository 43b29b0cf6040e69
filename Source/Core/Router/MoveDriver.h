#pragma once

#include "Common/Clock.h"
#include "Config/Queries/ConfigurationQueries.h"
#include "Moves/Commands/MoveCommands.h"
#include "Moves/Queries/MovePlanner.h"
#include "Moves/Queries/MoveQueries.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Upstream/Commands/OrderClient.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <map>
#include <string>

namespace Pollenwind {

/// Dependencies of MoveDriver. All references must outlive it.
struct MoveDriverContext {
    const Clock& clock;
    const ConfigurationQueries& configuration;
    StoreCommands& storeCommands;
    StoreQueries& storeQueries;
    MoveCommands& moveCommands;
    const MoveQueries& moveQueries;
    const MovePlanner& planner;
    const VersionEvaluator& evaluator;
    const UpstreamQueries& upstreams;
    OrderClient& orders;
    TimelineCommands& timeline;
    VmId ownVm;
};

/// Drives moves while it holds the move lease, and publishes this router's evidence.
///
/// The lease only avoids duplicate work; two holders at the same time do no harm. Every record changes by
/// compare-and-swap, every order carries the lease record's revision as fencing token, and for upstreams that ignore
/// the token the next holder compares the loaded versions with the desired ones again.
class MoveDriver {
public:
    explicit MoveDriver(MoveDriverContext context);

    /// Drives moves until the process ends.
    Task<> driveMoves();
    /// Publishes this router's evidence until the process ends.
    Task<> publishEvidence();

private:
    bool hasWork() const;
    Task<bool> holdLease();
    Task<bool> takeLease();
    bool isLeaseValid() const { return m_context.clock.now() < m_leaseUntil; }
    Task<> driveMove(KnownMove move);
    Task<> collectEvidence(ServiceId service);
    Task<> sendOrder(UpstreamOrder order);
    Task<> writeRecord(KnownMove move, MoveRecord next);
    Task<> writeEvidence(KnownMove move);
    Task<> eraseEvidence(ServiceId service);
    MoveView viewOf(const MoveRecord& record) const;

    MoveDriverContext m_context;
    LeaseId m_lease;
    std::int64_t m_fencingToken = 0;
    MonotonicTime m_leaseUntil { 0 };
    MonotonicTime m_renewAt { 0 };
    /// Store revision of this router's evidence record of each service.
    std::map<ServiceId, std::int64_t> m_evidenceRevisions;
    std::map<ServiceId, std::string> m_publishedEvidence;
};

} // namespace Pollenwind
