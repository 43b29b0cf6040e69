#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Dispatch/RequestTypes.h"

namespace Pollenwind {

/// Receives the tokens of one request.
class TokenSink {
public:
    TokenSink() = default;
    TokenSink(const TokenSink&) = delete;
    TokenSink& operator=(const TokenSink&) = delete;
    virtual ~TokenSink() = default;

    /// Sends one token to the caller. Completes when the caller's connection has accepted it, which applies back
    /// pressure to the stream of a slow caller.
    virtual Task<Outcome<void>> write(const TokenChunk& chunk) = 0;

    /// @return True if the caller has disconnected.
    virtual bool isCallerGone() = 0;
};

/// Runs generation requests.
class CompletionCommands {
public:
    CompletionCommands() = default;
    CompletionCommands(const CompletionCommands&) = delete;
    CompletionCommands& operator=(const CompletionCommands&) = delete;
    virtual ~CompletionCommands() = default;

    /// Runs one request to completion.
    /// @param request The request.
    /// @param sink Receives the tokens in order, each exactly once.
    /// @return The summary of a complete response; an error if the response is incomplete.
    virtual Task<Outcome<CompletionSummary>> run(CompletionRequest request, TokenSink& sink) = 0;
};

} // namespace Pollenwind
