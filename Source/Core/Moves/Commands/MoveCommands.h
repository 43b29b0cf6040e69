#pragma once

#include "Moves/MoveTypes.h"
#include "Moves/VersionEvidence.h"

namespace Pollenwind {

/// Outcome of one request to a service that is being moved.
struct VersionOutcome {
    ServiceId service;
    VersionId version;
    std::string route;
    UpstreamId upstream;
    bool isComplete = false;
    /// True when the connection to the upstream was lost, which a crash of its machine also causes.
    bool isConnectionLost = false;
    std::chrono::nanoseconds firstToken { 0 };
    std::chrono::nanoseconds betweenTokens { 0 };
    /// Prompt tokens that were not cached.
    std::uint32_t computedTokens = 0;
};

/// Updates this router's view of moves.
class MoveCommands {
public:
    MoveCommands() = default;
    MoveCommands(const MoveCommands&) = delete;
    MoveCommands& operator=(const MoveCommands&) = delete;
    virtual ~MoveCommands() = default;

    /// Adopts a move record from the store.
    /// @param revision Store revision of the record; older ones are ignored.
    virtual void adopt(std::int64_t revision, MoveRecord record) = 0;

    /// Records the outcome of a request. Outcomes of services that are not moving are ignored.
    virtual void recordOutcome(const VersionOutcome& outcome) = 0;

    /// Replaces another router's evidence on a move.
    virtual void setPeerEvidence(const VmId& vm, const MoveId& move, MoveEvidence evidence) = 0;
};

} // namespace Pollenwind
