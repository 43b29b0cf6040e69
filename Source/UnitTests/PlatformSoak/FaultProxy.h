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

/// State of the link that a proxy stands for.
enum class LinkState {
    Healthy,
    /// Bytes arrive late.
    Delayed,
    /// New connections are reset.
    Refusing,
    /// Bytes are held in both directions; connections stay open.
    Silent,
    /// Bytes towards the server are held.
    CutToServer,
    /// Bytes towards the client are held.
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

/// TCP proxy on the loopback interface that disturbs the connections through it.
class FaultProxy {
public:
    explicit FaultProxy(asio::any_io_executor executor);

    /// Binds a free port and starts to relay.
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
