#include "Dispatch/RetryBudget.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Part of the fixed number that a process leaves to its predecessor, which may have taken its whole share in the
    // same window. A gateway's share is 0.6 of the fleet's limit, so one restart of all VMs in a window uses 0.9 of it.
    constexpr double startDebt = 0.5;

    // Absorbs rounding where the limit is a whole number.
    constexpr double roundingError = 1e-9;

} // namespace

std::int64_t RetryBudget::slotNumber(MonotonicTime time) const
{
    const std::chrono::duration<double> slot(m_options.windowSeconds / slotsPerWindow);
    return time / std::max(std::chrono::duration_cast<std::chrono::nanoseconds>(slot), std::chrono::nanoseconds(1));
}

RetryBudget::Slot& RetryBudget::currentSlot(const ServiceId& service)
{
    const auto number = slotNumber(m_clock.now());
    auto& slot = m_histories[service].at(static_cast<std::size_t>(number % historySlots));
    if (slot.number != number) {
        slot = { .number = number };
    }
    return slot;
}

void RetryBudget::setOptions(const RetryBudgetOptions& options)
{
    const bool isOtherWindow = options.windowSeconds != m_options.windowSeconds;
    const auto oldest = slotNumber(m_clock.now()) - slotsPerWindow;
    m_options = options;
    if (!isOtherWindow) {
        return;
    }
    for (auto& [service, history] : m_histories) {
        std::uint32_t retries = 0;
        for (const auto& it : history) {
            retries += it.number >= oldest ? it.retries : 0;
        }
        history = {};
        currentSlot(service).retries = retries;
    }
}

void RetryBudget::recordRequest(const ServiceId& service) { ++currentSlot(service).requests; }

bool RetryBudget::mayTake(const ServiceId& service) const
{
    const auto now = slotNumber(m_clock.now());
    // Counts of the slots before the index, where the oldest slot has index 0 and the current one the last.
    std::array<std::uint32_t, historySlots + 1> requests {};
    std::array<std::uint32_t, historySlots + 1> retries {};
    const auto history = m_histories.find(service);
    if (history != m_histories.end()) {
        for (std::size_t n = 0; n < historySlots; ++n) {
            const auto number = now - historySlots + 1 + static_cast<std::int64_t>(n);
            const auto& slot = history->second.at(static_cast<std::size_t>((number + historySlots) % historySlots));
            const bool isCurrent = slot.number == number;
            requests.at(n + 1) = requests.at(n) + (isCurrent ? slot.requests : 0);
            retries.at(n + 1) = retries.at(n) + (isCurrent ? slot.retries : 0);
        }
    }
    // Sum of the slots from `first` to `last`, relative to the current slot, as far as they are known.
    const auto sum = [](const auto& counts, int first, int last) {
        const int begin = std::clamp(first + historySlots - 1, 0, historySlots);
        const int end = std::clamp(last + historySlots, begin, historySlots);
        return counts.at(static_cast<std::size_t>(end)) - counts.at(static_cast<std::size_t>(begin));
    };

    // A retry now counts in all windows that end within a window's length from now, whatever requests come until then.
    // Such a window ends in slot `end`. It touches one slot more than it has, so that retries count in all slots that
    // it may touch and requests only in those that it contains in any case.
    const double saved = m_options.retriesPerSecond * m_options.windowSeconds;
    const auto started = slotNumber(m_startedAt) - now;
    for (int end = 0; end <= slotsPerWindow; ++end) {
        const int before = end - slotsPerWindow;
        const int half = end - slotsPerWindow / 2;
        const auto counted
            = std::max({ sum(requests, before + 1, 0), sum(requests, half - slotsPerWindow + 1, half - 1),
                sum(requests, before - slotsPerWindow + 1, before - 1) });
        const double debt = started >= before ? startDebt * saved : 0;
        const double limit = saved + m_options.retriesPerRequest * counted;
        if (sum(retries, before, 0) + 1 + debt > limit + roundingError) {
            return false;
        }
    }
    return true;
}

bool RetryBudget::tryTake(const ServiceId& service)
{
    if (!mayTake(service)) {
        return false;
    }
    ++currentSlot(service).retries;
    return true;
}

void RetryBudget::takeResume(const ServiceId& service) { ++currentSlot(service).retries; }

} // namespace Pollenwind
