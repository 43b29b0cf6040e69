#include "Gateway/TcpRunnerProbe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Pollenwind {

Task<bool> TcpRunnerProbe::isRefused(const Endpoint& endpoint)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    if (ec) {
        co_return false;
    }
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(m_timeout);
    const asio::ip::tcp::endpoint to(address, endpoint.port);
    std::tie(ec) = co_await stream.async_connect(to, asTuple);
    co_return ec == asio::error::connection_refused;
}

} // namespace Pollenwind
