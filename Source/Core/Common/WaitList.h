#pragma once

#include "Common/Task.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <chrono>
#include <cstddef>
#include <set>

namespace Pollenwind {

/// Tasks that wait for an event, each at most for a time of its own.
class WaitList {
public:
    WaitList() = default;
    WaitList(const WaitList&) = delete;
    WaitList& operator=(const WaitList&) = delete;

    /// Waits for the next notification or until the time has passed.
    Task<> waitFor(std::chrono::nanoseconds time)
    {
        asio::steady_timer timer(co_await asio::this_coro::executor);
        timer.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(time));
        m_timers.insert(&timer);
        co_await timer.async_wait(asTuple);
        m_timers.erase(&timer);
    }

    /// Ends the wait of all tasks.
    void notifyAll()
    {
        for (auto* timer : m_timers) {
            timer->cancel();
        }
    }

    /// Number of waiting tasks.
    std::size_t size() const { return m_timers.size(); }

private:
    std::set<asio::steady_timer*> m_timers;
};

} // namespace Pollenwind
