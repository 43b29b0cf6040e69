#include "Gateway/PartSuspects.h"

#include <algorithm>
#include <tuple>

namespace Pollenwind {

namespace {

    // Parts evicted at a time, so that a prompt with many parts does not cause a search for each of them.
    constexpr std::size_t evictedParts = PartSuspects::maxParts / 8;

} // namespace

std::chrono::nanoseconds PartSuspects::Suspect::span() const
{
    const auto [first, last] = std::ranges::minmax_element(crashes, {}, &Crash::at);
    return first == crashes.end() ? std::chrono::nanoseconds(0) : last->at - first->at;
}

bool PartSuspects::add(PartId part, std::uint64_t crash, MonotonicTime at)
{
    if (m_parts.size() >= maxParts && !m_parts.contains(part)) {
        evict();
    }
    auto& suspect = m_parts[part];
    const bool isKnown = std::ranges::find(suspect.crashes, crash, &Crash::id) != suspect.crashes.end();
    if (isKnown || suspect.crashes.size() >= maxCrashesPerPart) {
        return false;
    }
    suspect.crashes.push_back({ crash, at });
    suspect.lastAt = std::max(suspect.lastAt, at);
    return true;
}

void PartSuspects::removeCrashesUntil(PartId part, MonotonicTime at)
{
    const auto it = m_parts.find(part);
    if (it == m_parts.end()) {
        return;
    }
    std::erase_if(it->second.crashes, [at](const Crash& crash) { return crash.at <= at; });
    if (it->second.crashes.empty()) {
        m_parts.erase(it);
    }
}

void PartSuspects::removeCrash(std::uint64_t crash)
{
    for (auto it = m_parts.begin(); it != m_parts.end();) {
        auto& crashes = it->second.crashes;
        std::erase_if(crashes, [crash](const Crash& known) { return known.id == crash; });
        it = crashes.empty() ? m_parts.erase(it) : std::next(it);
    }
}

void PartSuspects::removeOlder(MonotonicTime time)
{
    std::erase_if(m_parts, [time](const auto& it) { return it.second.lastAt < time; });
}

const PartSuspects::Suspect* PartSuspects::find(PartId part) const
{
    const auto it = m_parts.find(part);
    return it == m_parts.end() ? nullptr : &it->second;
}

std::size_t PartSuspects::crashesOf(PartId part) const
{
    const auto* suspect = find(part);
    return suspect ? suspect->crashes.size() : 0;
}

void PartSuspects::evict()
{
    std::vector<std::tuple<std::size_t, MonotonicTime, PartId>> order;
    order.reserve(m_parts.size());
    for (const auto& [part, suspect] : m_parts) {
        order.emplace_back(suspect.crashes.size(), suspect.lastAt, part);
    }
    std::ranges::nth_element(order, order.begin() + static_cast<std::ptrdiff_t>(evictedParts));
    for (std::size_t n = 0; n < evictedParts; ++n) {
        m_parts.erase(std::get<2>(order[n]));
    }
}

} // namespace Pollenwind
