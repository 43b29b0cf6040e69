#include "Gateway/ReturnOrder.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::nanoseconds;

    constexpr milliseconds shortestReturnTime { 100 };

    // Part of the remaining time that callers wait at most when they follow Retry-After.
    constexpr int remainingDivisor = 3;

    // Part of the spread in which the first caller of an order returns. The rest is left to those after it.
    constexpr int firstSpreadDivisor = 2;

    // Rejections over which the spread is divided at least, so that the first ones of a burst leave room for the rest.
    constexpr double leastRejections = 32;

    nanoseconds part(nanoseconds time, double share)
    {
        return nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
    }

} // namespace

ReturnOrder::Queue& ReturnOrder::queueOf(MonotonicTime now, const OrganisationId& organisation)
{
    const auto it = m_queues.find(organisation);
    if (it != m_queues.end()) {
        return it->second;
    }
    if (m_queues.size() >= maxOrganisations) {
        // An order whose last caller has returned has no further effect.
        std::erase_if(m_queues, [now](const auto& queue) { return queue.second.lastReturn <= now; });
    }
    if (m_queues.size() >= maxOrganisations) {
        m_queues.erase(
            std::ranges::min_element(m_queues, {}, [](const auto& queue) { return queue.second.lastReturn; }));
    }
    return m_queues[organisation];
}

milliseconds ReturnOrder::assign(
    MonotonicTime now, const OrganisationId& organisation, nanoseconds excess, nanoseconds remaining, double spread)
{
    const auto longest = std::max(nanoseconds(0), remaining / remainingDivisor);
    // Half of what the caller follows, so that the spread is not cut off.
    const auto base = std::min(std::max<nanoseconds>(excess, shortestReturnTime), longest / 2);
    if (base.count() <= 0) {
        return milliseconds(0);
    }
    const double place = std::clamp(spread, 0.0, 1.0);
    auto& queue = queueOf(now, organisation);
    queue.rejections = 1
        + queue.rejections
            * std::exp(-static_cast<double>((now - queue.lastRejection).count()) / static_cast<double>(base.count()));
    queue.lastRejection = now;

    const auto earliest = now + base;
    const auto end = earliest + base;
    MonotonicTime returnAt { 0 };
    if (queue.lastReturn <= earliest) {
        returnAt = earliest + part(base / firstSpreadDivisor, place);
    } else {
        const auto room = std::max(nanoseconds(0), end - queue.lastReturn);
        // A part of what is left, so that a burst of any size does not end at one moment.
        returnAt = queue.lastReturn + part(room, place / std::max(leastRejections, queue.rejections));
    }
    const auto wait = std::min(std::chrono::ceil<milliseconds>(std::max(returnAt, queue.lastAssigned) - now),
        std::chrono::floor<milliseconds>(longest));
    queue.lastReturn = std::max(queue.lastReturn, std::min(returnAt, now + wait));
    queue.lastAssigned = std::max(queue.lastAssigned, now + wait);
    return wait;
}

} // namespace Pollenwind
