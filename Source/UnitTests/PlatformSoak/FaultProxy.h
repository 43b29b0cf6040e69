#pragma once

#include "Common/EnumTable.h"
#include "Common/Error.h"
#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <set>

namespace Pollenwind {

/// State of the network link that a proxy simulates.
enum class LinkState {
    Healthy,
    /// Data is forwarded with a delay.
    Delayed,
    /// New connections are reset. Open ones are reset only by resetAll().
    Refusing,
    /// No data is forwarded in either direction; connections stay open.
    Silent,
    /// Data to the server is not forwarded.
    CutToServer,
    /// Data to the client is not forwarded.
    CutToClient,
};

template <> struct EnumTable<LinkState> {
    static constexpr std::array rows {
        EnumName { LinkState::Healthy, "sound" },
        EnumName { LinkState::Delayed, "delayed" },
        EnumName { LinkState::Refusing, "refusing" },
        EnumName { LinkState::Silent, "silent" },
        EnumName { LinkState::CutToServer, "cut-to-server" },
        EnumName { LinkState::CutToClient, "cut-to-client" },
    };
};

/// TCP proxy on the loopback interface that simulates faults of the link between a client and a server.
class FaultProxy {
public:
    explicit FaultProxy(asio::any_io_executor executor);

    /// Binds a free port of an address and forwards its connections to the target.
    Outcome<Endpoint> listen(const std::string& address, Endpoint target);

    void setState(LinkState state) { m_state = state; }
    LinkState state() const { return m_state; }
    /// Resets all connections.
    void resetAll();

private:
    struct Pair;
    using Socket = asio::ip::tcp::socket;

    Task<> accept();
    Task<> serve(std::shared_ptr<Pair> pair);
    Task<> copy(std::shared_ptr<Pair> pair, bool isToServer);
    bool isBlocked(bool isToServer) const;

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    Endpoint m_target;
    LinkState m_state = LinkState::Healthy;
    std::set<std::shared_ptr<Pair>> m_pairs;
};

} // namespace Pollenwind
