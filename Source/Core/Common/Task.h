#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Pollenwind {

namespace asio = boost::asio;

/// A coroutine that runs on the process's io_context. Each connection and each peer has one of its own.
template <typename T = void> using Task = asio::awaitable<T>;

/// Completion token that delivers errors as values instead of exceptions.
inline constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace Pollenwind
