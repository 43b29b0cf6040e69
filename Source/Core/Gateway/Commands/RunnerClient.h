#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/ForwardTypes.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <memory>
#include <string>

namespace Pollenwind {

/// One request to a runner and its response.
class RunnerExchange {
public:
    RunnerExchange() = default;
    RunnerExchange(const RunnerExchange&) = delete;
    RunnerExchange& operator=(const RunnerExchange&) = delete;
    virtual ~RunnerExchange() = default;

    /// Connects to the runner, unless a pooled connection is used. Nothing is sent.
    /// @return An error with RunState::NotRun when there is no connection.
    virtual Task<Outcome<void>> connect(std::chrono::nanoseconds timeout) = 0;

    /// Sends the request and reads the head of its response. Needs a connection.
    /// @param timeout Longest time until the head has arrived.
    /// @return The head, or an error with RunState::Unknown.
    virtual Task<Outcome<ReplyHead>> begin(std::chrono::nanoseconds timeout) = 0;

    /// Goes on to read the head after begin() or this function has failed with DeadlineExceeded.
    /// @param timeout Longest time until the head has arrived.
    /// @return The head, or an error with RunState::Unknown.
    virtual Task<Outcome<ReplyHead>> awaitHead(std::chrono::nanoseconds timeout) = 0;

    /// Whether the runner's side has taken the whole request.
    virtual bool isRequestSent() const = 0;

    /// Reads the next part of the body. May be called again after DeadlineExceeded.
    /// @return The bytes, or an empty string at the end of the body.
    virtual Task<Outcome<std::string>> readSome(std::chrono::nanoseconds timeout) = 0;

    /// Closes the connection, which makes the runner stop its work. A pending operation fails.
    virtual void cancel() = 0;

    /// Returns the connection to the pool after the complete response was read.
    virtual void finish() = 0;
};

/// Sends requests to runners.
class RunnerClient {
public:
    RunnerClient() = default;
    RunnerClient(const RunnerClient&) = delete;
    RunnerClient& operator=(const RunnerClient&) = delete;
    virtual ~RunnerClient() = default;

    /// Prepares a request without sending it.
    /// @param request Must outlive the exchange.
    /// @param mayReuse False to use a new connection: the runner may have closed a pooled one, and then it is unknown
    /// whether the request ran.
    virtual std::unique_ptr<RunnerExchange> open(
        const Endpoint& endpoint, const ForwardRequest& request, const AttemptTerms& terms, bool mayReuse)
        = 0;
};

} // namespace Pollenwind
