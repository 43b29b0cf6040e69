#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Upstream/UpstreamTypes.h"

#include <chrono>

namespace Pollenwind {

/// Runs generation calls at engines, the upstreams of model services.
///
/// Errors: ConnectFailed and Unavailable with RunState::NotRun if the engine did not start the call; otherwise
/// ConnectionLost, DeadlineExceeded, ProtocolError or Mismatch with RunState::Unknown.
class EngineClient {
public:
    EngineClient() = default;
    EngineClient(const EngineClient&) = delete;
    EngineClient& operator=(const EngineClient&) = delete;
    virtual ~EngineClient() = default;

    /// Creates a stream, which can be cancelled from now on. Nothing is sent yet.
    /// @param endpoint The engine.
    /// @param call The call.
    virtual StreamId open(Endpoint endpoint, GenerationCall call) = 0;

    /// Sends a stream's call and waits for the response head. After an error the stream is closed.
    /// @param timeout Longest time until the head has arrived. Engines send it before the prefill.
    virtual Task<Outcome<void>> begin(StreamId stream, std::chrono::nanoseconds timeout) = 0;

    /// Waits for the next event of a stream.
    /// @param timeout Longest time to wait.
    /// @return The event. After an error or a Finished event the stream is closed.
    virtual Task<Outcome<GenerationEvent>> next(StreamId stream, std::chrono::nanoseconds timeout) = 0;

    /// Cancels a stream at the engine; a pending begin() or next() fails. Closed streams are ignored.
    virtual void cancel(StreamId stream) = 0;
};

} // namespace Pollenwind
