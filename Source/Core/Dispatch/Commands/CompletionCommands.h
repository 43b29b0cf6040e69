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

    /// Passes one token on. Completes when the caller's connection took it, so that a slow caller slows its stream.
    virtual Task<Outcome<void>> write(const TokenChunk& chunk) = 0;

    /// Tells whether the caller has gone.
    virtual bool isCallerGone() = 0;
};

/// Runs requests for generated tokens.
class CompletionCommands {
public:
    CompletionCommands() = default;
    CompletionCommands(const CompletionCommands&) = delete;
    CompletionCommands& operator=(const CompletionCommands&) = delete;
    virtual ~CompletionCommands() = default;

    /// Runs one request to its end.
    /// @param request The request.
    /// @param sink Receives the tokens in order, each exactly once.
    /// @return Facts about the whole answer; an error when the answer is not whole.
    virtual Task<Outcome<CompletionSummary>> run(CompletionRequest request, TokenSink& sink) = 0;
};

} // namespace Pollenwind
