#pragma once

#include "Common/Ids.h"
#include "Moves/MoveTypes.h"
#include "Moves/VersionEvidence.h"

#include <optional>
#include <vector>

namespace Pollenwind {

/// A move with the revision of its record.
struct KnownMove {
    std::int64_t revision = 0;
    MoveRecord record;
};

/// Reads this router's view of moves.
class MoveQueries {
public:
    MoveQueries() = default;
    MoveQueries(const MoveQueries&) = delete;
    MoveQueries& operator=(const MoveQueries&) = delete;
    virtual ~MoveQueries() = default;

    /// Version that a request runs on.
    /// @param service The service.
    /// @param configured Version of the service document, used without a move.
    /// @param request Its hash selects the version, so that retries of a request stay on one version.
    /// @param isIdempotent Only idempotent requests use the new version before the move is confirming.
    virtual VersionId versionFor(
        const ServiceId& service, const VersionId& configured, const RequestId& request, bool isIdempotent) const
        = 0;

    /// Latest move of each service, in order of service.
    virtual std::vector<KnownMove> moves() const = 0;

    /// This router's own evidence on a service's running move.
    virtual const MoveEvidence* ownEvidence(const ServiceId& service) const = 0;

    /// Evidence of all routers on a service's running move.
    virtual MoveEvidence pooledEvidence(const ServiceId& service) const = 0;
};

} // namespace Pollenwind
