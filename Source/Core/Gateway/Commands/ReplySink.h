#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/ForwardTypes.h"

#include <functional>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Where the answer to a forwarded request goes. Errors mean that the caller has left.
class ReplySink {
public:
    ReplySink() = default;
    ReplySink(const ReplySink&) = delete;
    ReplySink& operator=(const ReplySink&) = delete;
    virtual ~ReplySink() = default;

    /// Sends a whole answer.
    virtual Task<Outcome<void>> answer(const ReplyHead& head, std::string body) = 0;
    /// Sends the head of a streamed answer.
    virtual Task<Outcome<void>> begin(const ReplyHead& head) = 0;
    virtual Task<Outcome<void>> write(std::string_view part) = 0;
    /// Ends a streamed answer as complete.
    virtual Task<Outcome<void>> end() = 0;

    /// Sets what is called when the caller leaves or the request reaches its deadline; nothing when empty.
    virtual void onStop(std::function<void()> handler) = 0;
    /// @return Why the request has to stop, or nothing while it may go on.
    virtual std::optional<Error> stopReason() const = 0;
};

} // namespace Pollenwind
