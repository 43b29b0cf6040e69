#include "Dispatch/FairQueue.h"

#include <algorithm>

namespace Pollenwind {

std::optional<RequestId> FairQueue::push(const QueuedRequest& request)
{
    auto& flow = m_flows[request.organisation];
    const double start = std::max(m_virtualTime, flow.lastFinish);
    flow.lastFinish = start + std::max(1.0, request.tokens) / request.weight;
    flow.entries.push_back({ request.id, start, flow.lastFinish });
    ++m_size;
    return m_size > m_capacity ? std::optional(shed()) : std::nullopt;
}

RequestId FairQueue::shed()
{
    const auto isLess = [](const auto& a, const auto& b) {
        const bool isFirstEmpty = a.second.entries.empty();
        const bool isSecondEmpty = b.second.entries.empty();
        return isFirstEmpty != isSecondEmpty ? isFirstEmpty : a.second.lastFinish < b.second.lastFinish;
    };
    auto& flow = std::ranges::max_element(m_flows, isLess)->second;
    const auto entry = flow.entries.back();
    flow.entries.pop_back();
    // The request is not served, so it does not count against the organisation's share.
    flow.lastFinish = entry.startTag;
    --m_size;
    return entry.id;
}

std::optional<RequestId> FairQueue::pop()
{
    auto next = m_flows.end();
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
        const bool isWaiting = !it->second.entries.empty();
        if (isWaiting
            && (next == m_flows.end() || it->second.entries.front().startTag < next->second.entries.front().startTag)) {
            next = it;
        }
    }
    if (next == m_flows.end()) {
        return std::nullopt;
    }
    const auto entry = next->second.entries.front();
    next->second.entries.pop_front();
    --m_size;
    m_virtualTime = std::max(m_virtualTime, entry.startTag);
    removeIdleFlows();
    return entry.id;
}

void FairQueue::erase(const RequestId& id)
{
    for (auto& [organisation, flow] : m_flows) {
        const auto it = std::ranges::find(flow.entries, id, &Entry::id);
        if (it != flow.entries.end()) {
            flow.entries.erase(it);
            --m_size;
            return;
        }
    }
}

void FairQueue::removeIdleFlows()
{
    std::erase_if(
        m_flows, [&](const auto& it) { return it.second.entries.empty() && it.second.lastFinish <= m_virtualTime; });
}

} // namespace Pollenwind
