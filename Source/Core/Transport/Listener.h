#pragma once

#include "Common/Task.h"
#include "Transport/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>

namespace Pollenwind::detail {

/// Opens, binds and starts a listening socket.
/// @return The first error.
boost::system::error_code openListener(asio::ip::tcp::acceptor& acceptor, const Endpoint& endpoint);

} // namespace Pollenwind::detail
