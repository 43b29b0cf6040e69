#include "Gateway/PromptPool.h"

#include "Gateway/Queries/RunnerQueries.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Pollenwind {

namespace {

    // Time over which the work is averaged. VMs report every 250 ms.
    constexpr std::chrono::milliseconds averagingTime { 500 };

    // Time without an observation after which the average starts again, as after a pause of the process.
    constexpr std::chrono::seconds longestGap { 5 };

    // The pool grows from this number of prompts in progress for each of its engines: every second prompt then waits
    // for another one.
    constexpr double growAt = 1.1;

    // The pool shrinks if the smaller one would have fewer prompts in progress for each engine than this. Clearly below
    // the other limit, so that a steady load does not move the size back and forth.
    constexpr double shrinkBelow = 0.75;

    // Share of the slots outside the pool in use by urgent requests up to which the pool may grow, and from which it
    // shrinks. From 0.75 further requests are likely to wait for a slot, see AffinityCosts::queueingShare.
    constexpr double urgentShareToGrow = 0.75;
    constexpr double urgentShareToShrink = 0.9;

    // Share of busy engines that counts at most, to keep the logarithm finite. A pool of which all are busy grows.
    constexpr double largestBusyShare = 0.99;

} // namespace

double PromptPool::promptsPerEngine(double poolShare) const
{
    // Reports of the VMs are from different times, so the prompts that they show are spread over the engines as at
    // random: of n prompts for each engine, a share exp(-n) of the engines shows none.
    return -std::log(1 - std::min(largestBusyShare, m_busyShare / poolShare));
}

void PromptPool::observe(MonotonicTime now, std::span<const RunnerCandidate> engines)
{
    if (engines.empty()) {
        return;
    }
    const auto busy = std::ranges::count_if(engines, [](const auto& it) { return it.load.yieldingTokens > 0; });
    const double busyShare = static_cast<double>(busy) / static_cast<double>(engines.size());
    double urgent = 0;
    double slots = 0;
    for (const auto& engine : engines) {
        urgent += engine.load.urgentRequests;
        slots += engine.slots;
    }
    const double urgentShare = urgent / std::max(1.0, slots);
    if (m_observedAt.count() == 0 || now - m_observedAt > longestGap) {
        // The size stays for one interval: a process that has just started knows no work of the other VMs.
        m_busyShare = busyShare;
        m_urgentShare = urgentShare;
        m_observedAt = now;
        m_changedAt = now;
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - m_observedAt) / averagingTime;
    const double weight = 1 - std::exp(-elapsed);
    m_busyShare += (busyShare - m_busyShare) * weight;
    m_urgentShare += (urgentShare - m_urgentShare) * weight;
    m_observedAt = now;
    if (now - m_changedAt < stepInterval) {
        return;
    }
    const double inProgress = promptsPerEngine(share());
    const auto isOutsideFull
        = [this](double poolShare, double limit) { return m_urgentShare > limit * (1 - poolShare); };
    const bool mayGrow = m_level + 1 < shares.size() && !isOutsideFull(shares[m_level + 1], urgentShareToGrow);
    if (mayGrow && inProgress > growAt) {
        ++m_level;
        m_changedAt = now;
    } else if (m_level > 0
        && (isOutsideFull(share(), urgentShareToShrink) || inProgress * share() / shares[m_level - 1] < shrinkBelow)) {
        --m_level;
        m_changedAt = now;
    }
}

std::size_t PromptPool::sizeOf(std::size_t engines) const
{
    // One engine at least, and one outside the pool if there are several.
    const auto size = static_cast<std::size_t>(std::lround(shares[m_level] * static_cast<double>(engines)));
    return std::clamp<std::size_t>(size, 1, std::max<std::size_t>(2, engines) - 1);
}

void PromptPool::markMembers(std::span<RunnerCandidate> engines) const
{
    if (engines.empty()) {
        return;
    }
    std::vector<std::pair<std::uint64_t, RunnerCandidate*>> order;
    order.reserve(engines.size());
    for (auto& engine : engines) {
        engine.isInPromptPool = false;
        order.emplace_back(runnerHash(engine.id), &engine);
    }
    const auto end = order.begin() + static_cast<std::ptrdiff_t>(std::min(sizeOf(order.size()), order.size()));
    std::ranges::nth_element(order, end - 1, {}, &std::pair<std::uint64_t, RunnerCandidate*>::first);
    std::for_each(order.begin(), end, [](const auto& it) { it.second->isInPromptPool = true; });
}

} // namespace Pollenwind
