#pragma once

#include "Dispatch/Commands/ClaimCommands.h"
#include "Dispatch/Commands/PlainCommands.h"
#include "Dispatch/CompletionDispatcher.h"
#include "Upstream/Commands/PlainClient.h"

namespace Pollenwind {

/// Runs calls to plain services: applies the rate limit, claims non-idempotent calls, chooses a runner and retries
/// failed attempts.
class PlainDispatcher final : public PlainCommands {
public:
    PlainDispatcher(DispatchContext context, PlainClient& client, ClaimCommands& claims);

    Task<Outcome<PlainAnswer>> run(PlainRequest request) override;

private:
    /// Response to a call and whether this request started the call.
    struct Execution {
        Outcome<PlainAnswer> answer;
        bool isStarted = false;
    };

    Task<Execution> runOnce(const PlainRequest& request);
    Task<Outcome<PlainAnswer>> runAttempts(const PlainRequest& request);

    DispatchContext m_context;
    PlainClient& m_client;
    ClaimCommands& m_claims;
};

} // namespace Pollenwind
