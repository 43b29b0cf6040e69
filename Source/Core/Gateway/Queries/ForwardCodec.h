#pragma once

#include "Gateway/ForwardTypes.h"
#include "Transport/HttpClient.h"

namespace Pollenwind {

/// Encoding of forwarded requests and their responses. Decisions do not depend on it.
class ForwardCodec {
public:
    ForwardCodec() = default;
    ForwardCodec(const ForwardCodec&) = delete;
    ForwardCodec& operator=(const ForwardCodec&) = delete;
    virtual ~ForwardCodec() = default;

    /// Reads a caller's request.
    /// @return The request, or Malformed.
    virtual Outcome<ForwardRequest> decodeRequest(HttpRequest message) const = 0;

    /// Encodes the message for one attempt at a runner, without its body, which stays in the request.
    virtual HttpRequest encodeAttempt(const ForwardRequest& request, const AttemptTerms& terms) const = 0;

    /// Reads the head of a runner's response.
    /// @param request Id of the request that was sent last on the connection.
    /// @return The head, without ReplyOrigin::isFirstOnConnection, which the headers do not show.
    virtual ReplyHead decodeReply(const HttpHead& head, const RequestId& request) const = 0;

    /// Encodes the response to a request that the router itself ends with an error.
    /// @param id Id of the request; empty when it could not be read.
    virtual HttpAnswer encodeRefusal(const Error& error, const RequestId& id) const = 0;
};

} // namespace Pollenwind
