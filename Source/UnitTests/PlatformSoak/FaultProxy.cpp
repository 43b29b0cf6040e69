#include "PlatformSoak/FaultProxy.h"

#include "Common/Sleep.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace Pollenwind {

using tcp = asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds blockedPollInterval { 20 };

    // Long enough for a connection attempt to appear dead, short enough for requests to meet their deadlines.
    constexpr std::chrono::milliseconds linkDelay { 120 };

    constexpr std::size_t copyBytes = 8192;

    void reset(tcp::socket& socket)
    {
        boost::system::error_code ec;
        socket.set_option(asio::socket_base::linger(true, 0), ec);
        socket.close(ec);
    }

} // namespace

struct FaultProxy::Pair {
    explicit Pair(tcp::socket accepted)
        : client(std::move(accepted))
        , server(client.get_executor())
    {
    }

    tcp::socket client;
    tcp::socket server;
};

FaultProxy::FaultProxy(asio::any_io_executor executor)
    : m_executor(std::move(executor))
    , m_acceptor(m_executor)
{
}

Outcome<Endpoint> FaultProxy::listen(const std::string& address, Endpoint target)
{
    m_target = std::move(target);
    boost::system::error_code ec;
    const tcp::endpoint local(asio::ip::make_address(address, ec), 0);
    m_acceptor.open(local.protocol(), ec);
    m_acceptor.bind(local, ec);
    m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        return fail(ErrorCode::Unavailable, "proxy on " + address + ": " + ec.message());
    }
    asio::co_spawn(m_executor, accept(), asio::detached);
    return Endpoint { address, m_acceptor.local_endpoint().port() };
}

void FaultProxy::resetAll()
{
    for (const auto& pair : m_pairs) {
        reset(pair->client);
        reset(pair->server);
    }
}

bool FaultProxy::isBlocked(bool isToServer) const
{
    return m_state == LinkState::Silent || m_state == (isToServer ? LinkState::CutToServer : LinkState::CutToClient);
}

Task<> FaultProxy::accept()
{
    for (;;) {
        auto [ec, socket] = co_await m_acceptor.async_accept(asTuple);
        if (ec) {
            co_return;
        }
        if (m_state == LinkState::Refusing) {
            reset(socket);
            continue;
        }
        asio::co_spawn(m_executor, serve(std::make_shared<Pair>(std::move(socket))), asio::detached);
    }
}

Task<> FaultProxy::serve(std::shared_ptr<Pair> pair)
{
    const tcp::endpoint target(asio::ip::make_address(m_target.address), m_target.port);
    const auto [ec] = co_await pair->server.async_connect(target, asTuple);
    if (ec) {
        reset(pair->client);
        co_return;
    }
    m_pairs.insert(pair);
    asio::co_spawn(m_executor, copy(pair, true), asio::detached);
    co_await copy(pair, false);
    m_pairs.erase(pair);
}

Task<> FaultProxy::copy(std::shared_ptr<Pair> pair, bool isToServer)
{
    auto& from = isToServer ? pair->client : pair->server;
    auto& to = isToServer ? pair->server : pair->client;
    std::array<char, copyBytes> buf {};
    for (;;) {
        const auto [readError, n] = co_await from.async_read_some(asio::buffer(buf), asTuple);
        while (isBlocked(isToServer)) {
            co_await sleepFor(blockedPollInterval);
        }
        if (m_state == LinkState::Delayed) {
            co_await sleepFor(linkDelay);
        }
        const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buf, n), asTuple);
        if (readError || writeError) {
            break;
        }
    }
    // When one direction ends, both are shut down, after the data that was read before has been forwarded.
    boost::system::error_code ec;
    to.shutdown(tcp::socket::shutdown_both, ec);
    from.shutdown(tcp::socket::shutdown_both, ec);
}

} // namespace Pollenwind
