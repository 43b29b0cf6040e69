#pragma once

#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <deque>
#include <string>
#include <vector>

namespace Pollenwind {

/// What a scripted runner does with a connection after a response.
enum class WireEnd {
    Keep,
    Close,
    Reset,
};

/// Bytes with which a scripted runner responds to one request. "{id}" stands for the id of the request.
struct WireReply {
    std::string bytes;
    WireEnd end = WireEnd::Keep;
    /// Bytes that follow later on the kept connection, while no request is outstanding.
    std::string extraBytes = {};
    /// Number of bytes that are written, with the id in its place; all by default.
    std::size_t cutAfter = std::string::npos;
    /// Bytes that are repeated after the others until the other side closes the connection.
    std::string endless = {};
    /// Time between the repetitions.
    std::chrono::milliseconds endlessInterval { 0 };
    /// The runner responds when the head of the request has arrived and does not read its body.
    bool isBeforeBody = false;
};

/// Runner that responds with scripted bytes, in the order in which requests arrive on any of its connections.
class WireRunner {
public:
    explicit WireRunner(asio::io_context& context);

    struct Arrival {
        std::string request;
        unsigned connection = 0;
    };

    std::deque<WireReply> script;
    std::vector<Arrival> arrivals;
    /// Responses whose extra bytes were written.
    unsigned extras = 0;
    /// Repeated bytes that the other side has taken, and repetitions that it has ended.
    std::size_t endlessBytes = 0;
    unsigned endlessEnds = 0;

private:
    using tcp = asio::ip::tcp;

    Task<> accept();
    Task<> serve(tcp::socket socket, unsigned connection);

    tcp::acceptor m_acceptor;

public:
    Endpoint endpoint;
};

/// Response as the caller's end of the connection receives it.
struct CallerView {
    int status = 0;
    std::string body;
    /// The response has the end that its framing announces, and nothing follows it.
    bool isComplete = false;
    /// All received bytes.
    std::string bytes;
};

/// Sends a request as a caller and reads until the connection ends.
Task<CallerView> callOverSocket(Endpoint endpoint, std::string path, std::string id, std::string body = "body");

} // namespace Pollenwind
