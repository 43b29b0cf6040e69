#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/RequestTypes.h"
#include "Upstream/UpstreamTypes.h"

namespace Pollenwind {

/// Runs calls to plain services.
class PlainCommands {
public:
    PlainCommands() = default;
    PlainCommands(const PlainCommands&) = delete;
    PlainCommands& operator=(const PlainCommands&) = delete;
    virtual ~PlainCommands() = default;

    /// Runs one call.
    /// @return The upstream's answer, or an error that says whether the call ran.
    virtual Task<Outcome<PlainAnswer>> run(PlainRequest request) = 0;
};

} // namespace Pollenwind
