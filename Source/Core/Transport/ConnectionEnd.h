#pragma once

#include "Common/EnumTable.h"
#include "Transport/HttpTypes.h"

#include <boost/system/error_code.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <string>

namespace Pollenwind {

/// What happened to a connection, where it matters for the question whether a request got a response.
enum class ConnectionEvent {
    /// Bytes were read that had arrived before the server reacted to the end of a time limit or to a stop.
    ReadLate,
    /// Closed after the time limit for the next request, of which nothing had arrived.
    IdleClosed,
    /// A time limit passed in the middle of a request.
    RequestTimedOut,
    /// The connection failed or the client closed it in the middle of a request.
    RequestCutOff,
    /// A stop of the server ended the connection in the middle of a request.
    RequestStopped,
    /// There were too many connections.
    Rejected,
    /// A request was handled without a complete response.
    Unanswered,
    /// A request arrived when the server had closed the idle connection. It is not handled.
    CrossedClose,
};

template <> struct EnumTable<ConnectionEvent> {
    static constexpr std::array rows {
        EnumName { ConnectionEvent::ReadLate, "read-late" },
        EnumName { ConnectionEvent::IdleClosed, "idle-closed" },
        EnumName { ConnectionEvent::RequestTimedOut, "request-timed-out" },
        EnumName { ConnectionEvent::RequestCutOff, "request-cut-off" },
        EnumName { ConnectionEvent::RequestStopped, "request-stopped" },
        EnumName { ConnectionEvent::Rejected, "rejected" },
        EnumName { ConnectionEvent::Unanswered, "unanswered" },
        EnumName { ConnectionEvent::CrossedClose, "crossed-close" },
    };
};

/// Counts the bytes of the request that a connection is receiving.
class RequestTrace {
public:
    /// Begins with the bytes that arrived together with the request before.
    void begin(std::size_t bytes);
    void add(std::size_t bytes);

    std::size_t bytes() const { return m_bytes; }
    /// Time since the first byte was read.
    std::chrono::milliseconds sinceFirstByte() const;

private:
    std::size_t m_bytes = 0;
    std::chrono::steady_clock::time_point m_firstByteAt;
};

/// How long a connection waited for its next request.
struct IdleWait {
    std::chrono::milliseconds time { 0 };
    std::chrono::milliseconds limit { 0 };
    /// What its last response promised to the client.
    std::chrono::milliseconds promised { 0 };
};

/// End of a connection without a complete response to a request that was at least partly read, or whose connection was
/// rejected.
struct ConnectionEnd {
    ConnectionEvent event = ConnectionEvent::Unanswered;
    /// Id of the request as its handler set it; empty when it was not handled.
    std::string requestId;
    /// Request that was not handled, without its body; null when its header was not read.
    const HttpRequest* request = nullptr;
    RequestTrace trace;
    /// The wait that ended with the close which the request crossed.
    IdleWait wait;
    /// The server had begun to stop.
    bool isStopping = false;
    /// The client closed or reset the connection before the server did.
    bool isClosedByClient = false;
    /// Text of the error that ended it; may be empty.
    std::string cause;
};

/// Tells whether an error of a read or write shows that the client closed or reset the connection.
bool isCloseByClient(const boost::system::error_code& ec);

} // namespace Pollenwind
