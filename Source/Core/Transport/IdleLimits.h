#pragma once

#include <chrono>
#include <vector>

namespace Pollenwind::detail {

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
