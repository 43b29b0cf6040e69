#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Upstream/UpstreamTypes.h"

#include <chrono>

namespace Pollenwind {

/// Runs generation calls at engines.
///
/// Errors: ConnectFailed and Unavailable with RunState::NotRun when the engine did not start the call; otherwise
/// ConnectionLost, DeadlineExceeded, ProtocolError or Mismatch with RunState::Unknown.
class EngineClient {
public:
    EngineClient() = default;
    EngineClient(const EngineClient&) = delete;
    EngineClient& operator=(const EngineClient&) = delete;
    virtual ~EngineClient() = default;

    /// Starts a call.
    /// @param endpoint The engine.
    /// @param call The call.
    /// @param timeout Longest time until the head of the answer.
    virtual Task<Outcome<StreamId>> start(Endpoint endpoint, GenerationCall call, std::chrono::nanoseconds timeout) = 0;

    /// Waits for the next event of a stream.
    /// @param timeout Longest time to wait.
    /// @return The event. After an error or a Finished event the stream is closed.
    virtual Task<Outcome<GenerationEvent>> next(StreamId stream, std::chrono::nanoseconds timeout) = 0;

    /// Cancels a stream at the engine. Closed streams are ignored.
    virtual void cancel(StreamId stream) = 0;
};

} // namespace Pollenwind
