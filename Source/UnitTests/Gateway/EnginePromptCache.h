#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>

namespace Pollenwind {

/// Shared parts of prompts in the memory of a simulated engine, which evicts the least recently used ones.
class EnginePromptCache {
public:
    /// @param capacity Tokens that fit; 0 to keep nothing.
    explicit EnginePromptCache(double capacity)
        : m_capacity(capacity)
    {
    }

    bool contains(std::uint64_t part) const
    {
        return std::ranges::find(m_parts, part, &std::pair<std::uint64_t, double>::first) != m_parts.end();
    }

    /// Records the use of a part, which is kept from now on if it fits.
    void recordUse(std::uint64_t part, double tokens)
    {
        m_used -= std::erase_if(m_parts, [part](const auto& it) { return it.first == part; }) > 0 ? tokens : 0;
        m_parts.emplace_back(part, tokens);
        for (m_used += tokens; m_used > m_capacity; m_parts.pop_front()) {
            m_used -= m_parts.front().second;
        }
    }

private:
    double m_capacity;
    double m_used = 0;
    /// Ids and tokens, the least recently used first.
    std::deque<std::pair<std::uint64_t, double>> m_parts;
};

} // namespace Pollenwind
