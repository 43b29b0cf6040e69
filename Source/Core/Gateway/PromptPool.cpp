#include "Gateway/PromptPool.h"

#include "Gateway/Queries/RunnerQueries.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Pollenwind {

std::size_t PromptPool::sizeOf(std::size_t engines, double share)
{
    // One engine at least, and one outside the pool if there are several.
    const auto size = static_cast<std::size_t>(std::lround(share * static_cast<double>(engines)));
    return std::clamp<std::size_t>(size, 1, std::max<std::size_t>(2, engines) - 1);
}

void PromptPool::markMembers(std::span<RunnerCandidate> engines, double share)
{
    if (engines.empty()) {
        return;
    }
    std::vector<std::pair<std::uint64_t, RunnerCandidate*>> order;
    order.reserve(engines.size());
    for (auto& engine : engines) {
        engine.isInPromptPool = false;
        order.emplace_back(runnerHash(engine), &engine);
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(sizeOf(order.size(), share), order.size()));
    std::ranges::nth_element(order, end - 1, {}, &std::pair<std::uint64_t, RunnerCandidate*>::first);
    std::for_each(order.begin(), end, [](const auto& it) { it.second->isInPromptPool = true; });
}

} // namespace Pollenwind
