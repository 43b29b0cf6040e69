#include "Transport/Listener.h"

namespace Pollenwind::detail {

using tcp = asio::ip::tcp;

boost::system::error_code openListener(tcp::acceptor& acceptor, const Endpoint& endpoint)
{
    boost::system::error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    const tcp::endpoint local(address, endpoint.port);
    if (!ec) {
        acceptor.open(local.protocol(), ec);
    }
    if (!ec) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    }
    if (!ec) {
        acceptor.bind(local, ec);
    }
    if (!ec) {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    return ec;
}

} // namespace Pollenwind::detail
