#include "Common/MemoryBudget.h"

#include <algorithm>
#include <utility>

namespace Pollenwind {

namespace {

    // Part of the total that is kept for the store and the other VMs.
    constexpr std::size_t reserveDivisor = 4;

    /// Whether a use may take up the part that is kept for the store and the other VMs.
    bool mayUseReserve(MemoryUse use)
    {
        switch (use) {
        case MemoryUse::StoreResponse:
        case MemoryUse::PeerFeed:
        // The bytes of their responses that are not parsed yet are among them. A connection holds few.
        case MemoryUse::UnparsedResponse:
            return true;
        case MemoryUse::Request:
        case MemoryUse::RunnerResponse:
        case MemoryUse::RunnerStream:
        case MemoryUse::RunnerReport:
        case MemoryUse::OperatorResponse:
            break;
        }
        return false;
    }

} // namespace

MemoryBudget::Share::Share(Share&& other) noexcept
    : m_budget(other.m_budget)
    , m_use(other.m_use)
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

MemoryBudget::Share& MemoryBudget::Share::operator=(Share&& other) noexcept
{
    if (this != &other) {
        release();
        m_budget = other.m_budget;
        m_use = other.m_use;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

void MemoryBudget::Share::release() { m_budget->m_held -= std::exchange(m_bytes, 0); }

bool MemoryBudget::Share::resize(std::size_t bytes)
{
    auto& budget = *m_budget;
    const auto others = budget.m_held - m_bytes;
    const auto limit = mayUseReserve(m_use) ? budget.m_total : budget.m_total - budget.m_total / reserveDivisor;
    const auto available = limit - std::min(limit, others);
    // At least as much stays free.
    if (bytes > m_bytes && bytes > available / 2) {
        ++budget.m_refusals[static_cast<std::size_t>(m_use)];
        return false;
    }
    m_bytes = bytes;
    budget.m_held = others + bytes;
    return true;
}

MemoryBudget& processMemory()
{
    static MemoryBudget s_budget;
    return s_budget;
}

std::size_t grownCapacity(std::size_t capacity, std::size_t size)
{
    return size <= capacity ? capacity : std::max(size, 2 * capacity);
}

bool appendWithin(std::string& text, std::string_view bytes, MemoryBudget::Share& share)
{
    const auto capacity = grownCapacity(text.capacity(), text.size() + bytes.size());
    if (!share.resize(capacity)) {
        return false;
    }
    text.reserve(capacity);
    text += bytes;
    return true;
}

} // namespace Pollenwind
