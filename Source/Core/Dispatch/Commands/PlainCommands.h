#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/RequestTypes.h"
#include "Upstream/UpstreamTypes.h"

namespace Pollenwind {

/// Runs calls to plain services, which are HTTP services that are not models.
class PlainCommands {
public:
    PlainCommands() = default;
    PlainCommands(const PlainCommands&) = delete;
    PlainCommands& operator=(const PlainCommands&) = delete;
    virtual ~PlainCommands() = default;

    /// Runs one call.
    /// @return The upstream's response, or an error whose run state says whether the call ran.
    virtual Task<Outcome<PlainAnswer>> run(PlainRequest request) = 0;
};

} // namespace Pollenwind
