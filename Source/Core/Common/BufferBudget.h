#pragma once

#include <algorithm>
#include <cstddef>

namespace Pollenwind {

/// Bytes that all responses being collected may hold together. Each may hold a small part outside of the budget, so
/// that peers that send without end cannot keep ordinary responses from being collected.
class BufferBudget {
public:
    struct Limits {
        std::size_t total = 0;
        /// Largest response.
        std::size_t perResponse = 0;
        /// Part of each response that does not count.
        std::size_t free = 0;
    };

    explicit BufferBudget(Limits limits)
        : m_limits(limits)
    {
    }

    /// The bytes of one response. They are returned to the budget when it is destroyed.
    class Share {
    public:
        explicit Share(BufferBudget& budget)
            : m_budget(budget)
        {
        }
        ~Share() { m_budget.m_used -= counted(m_bytes); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// Adds bytes.
        /// @return False if the response or all responses together would be too large.
        bool grow(std::size_t bytes)
        {
            const auto more = counted(m_bytes + bytes) - counted(m_bytes);
            if (m_bytes + bytes > m_budget.m_limits.perResponse || m_budget.m_used + more > m_budget.m_limits.total) {
                return false;
            }
            m_bytes += bytes;
            m_budget.m_used += more;
            return true;
        }

    private:
        std::size_t counted(std::size_t bytes) const { return bytes - std::min(bytes, m_budget.m_limits.free); }

        BufferBudget& m_budget;
        std::size_t m_bytes = 0;
    };

private:
    Limits m_limits;
    std::size_t m_used = 0;
};

} // namespace Pollenwind
