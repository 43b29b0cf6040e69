#pragma once

#include "Common/Task.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <chrono>

namespace Pollenwind {

/// Suspends the calling task for a duration.
/// @return False when the wait was cancelled.
inline Task<bool> sleepFor(std::chrono::nanoseconds duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(duration));
    const auto [ec] = co_await timer.async_wait(asTuple);
    co_return !ec;
}

} // namespace Pollenwind
