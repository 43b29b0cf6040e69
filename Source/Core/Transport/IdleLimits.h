#pragma once

#include "Transport/HttpServer.h"

#include <chrono>
#include <vector>

namespace Pollenwind::detail {

/// Time that a connection is kept beyond the idle time that was promised to its client: the client counts from the
/// arrival of the response, and its next request is on its way for some time.
inline constexpr std::chrono::milliseconds promisedIdleMargin { 600 };

/// Idle time that responses promise to their clients, in the whole seconds of the Keep-Alive header; 0 for none.
std::chrono::seconds promisedIdleTime(const HttpServerLimits& limits);

/// Idle limits on which clients may still rely, since they were in force lately.
class IdleLimits {
public:
    /// Records that a limit was replaced now.
    void replace(std::chrono::milliseconds limit);

    /// Longest of the present limit and those that were replaced lately.
    std::chrono::milliseconds longest(std::chrono::milliseconds present);

private:
    struct Replaced {
        std::chrono::milliseconds limit;
        std::chrono::steady_clock::time_point replacedAt;
    };

    std::vector<Replaced> m_replaced;
};

} // namespace Pollenwind::detail
