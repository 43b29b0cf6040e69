#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/ForwardTypes.h"

#include <functional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Destination of the response to a forwarded request. Its operations fail when the caller has disconnected.
class ReplySink {
public:
    ReplySink() = default;
    ReplySink(const ReplySink&) = delete;
    ReplySink& operator=(const ReplySink&) = delete;
    virtual ~ReplySink() = default;

    /// Sends a complete response.
    virtual Task<Outcome<void>> answer(const ReplyHead& head, std::string body) = 0;
    /// Sends the head of a streamed response.
    virtual Task<Outcome<void>> begin(const ReplyHead& head) = 0;
    virtual Task<Outcome<void>> write(std::string_view part) = 0;
    /// Ends a streamed response as complete.
    virtual Task<Outcome<void>> end() = 0;

    /// Sets the handler that is called when the caller disconnects or the request reaches its deadline. An empty
    /// handler removes it.
    virtual void onStop(std::function<void()> handler) = 0;
    /// @return Why the request has to stop, or nothing while it may continue.
    virtual std::optional<Error> stopReason() const = 0;
};

} // namespace Pollenwind
