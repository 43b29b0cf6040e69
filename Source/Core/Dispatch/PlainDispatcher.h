#pragma once

#include "Dispatch/Commands/PlainCommands.h"
#include "Dispatch/CompletionDispatcher.h"
#include "Upstream/Commands/PlainClient.h"

namespace Pollenwind {

/// Runs calls to plain services: rate, choice of a runner, attempts.
class PlainDispatcher final : public PlainCommands {
public:
    PlainDispatcher(DispatchContext context, PlainClient& client);

    Task<Outcome<PlainAnswer>> run(PlainRequest request) override;

private:
    Task<Outcome<PlainAnswer>> runReserved(const PlainRequest& request);

    DispatchContext m_context;
    PlainClient& m_client;
};

} // namespace Pollenwind
