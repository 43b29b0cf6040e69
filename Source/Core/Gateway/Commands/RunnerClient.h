#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/ForwardTypes.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <memory>
#include <string>

namespace Pollenwind {

/// One request at a runner.
class RunnerExchange {
public:
    RunnerExchange() = default;
    RunnerExchange(const RunnerExchange&) = delete;
    RunnerExchange& operator=(const RunnerExchange&) = delete;
    virtual ~RunnerExchange() = default;

    /// Sends the request and reads the head of its answer.
    /// @param timeout Longest time until the head has arrived.
    /// @return The head; ConnectFailed when nothing was sent, otherwise an error with RunState::Unknown.
    virtual Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds timeout) = 0;

    /// Reads the next part of the body.
    /// @return The bytes, or an empty string at the end of the body.
    virtual Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout) = 0;

    /// Ends the exchange at once; the runner stops its work. A pending operation fails.
    virtual void cancel() = 0;

    /// Keeps the connection for another request after the answer was read whole.
    virtual void finish() = 0;
};

/// Sends requests to runners.
class RunnerClient {
public:
    RunnerClient() = default;
    RunnerClient(const RunnerClient&) = delete;
    RunnerClient& operator=(const RunnerClient&) = delete;
    virtual ~RunnerClient() = default;

    /// Prepares a request; nothing is sent yet.
    /// @param mayReuse False when the request must not share a connection that may have been closed meanwhile.
    virtual std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest& request, const AttemptTerms& terms, bool mayReuse)
        = 0;
};

} // namespace Pollenwind
