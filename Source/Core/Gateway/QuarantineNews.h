#pragma once

#include "Common/Clock.h"
#include "Gateway/QuarantineTypes.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Pollenwind {

/// News on parts of prompts for the other VMs, each repeated in several reports so that it survives a lost datagram.
///
/// One crash may concern thousands of parts and a report has room for a few, so the news are sent over several reports:
/// urgent ones come first, then those that were sent least, and among them the earliest. When the queue is full, the
/// most repeated ones give way, and then the latest, so that a crash with many parts does not displace an urgent one.
template <typename T> class QuarantineNews {
public:
    /// Items that wait, at most 40 bytes each. Four reports of evidence, sent within a second, hold as many.
    static constexpr std::size_t maxPending = 256;

    struct Item {
        T item;
        MonotonicTime at { 0 };
        /// Reports in which the item is still to be sent.
        unsigned sends = 0;
        /// Whether the other zones need it at once.
        bool isUrgent = false;
    };

    void add(Item item)
    {
        const auto rank = [](const Item& it) { return std::pair(it.isUrgent, it.sends); };
        const auto next = std::ranges::upper_bound(m_items, rank(item), std::ranges::greater {}, rank);
        m_items.insert(next, std::move(item));
        if (m_items.size() > maxPending) {
            m_items.pop_back();
        }
    }

    void remove(PartId part)
    {
        std::erase_if(m_items, [part](const Item& it) { return it.item.part == part; });
    }

    /// Returns the items for the next report and counts them as sent once more.
    /// @param isNews Set to true if the other zones need one of them at once.
    std::vector<T> take(MonotonicTime now, std::size_t limit, bool& isNews)
    {
        const auto end = m_items.begin() + static_cast<std::ptrdiff_t>(std::min(limit, m_items.size()));
        std::vector<Item> sent(m_items.begin(), end);
        m_items.erase(m_items.begin(), end);
        std::vector<T> taken;
        for (auto& it : sent) {
            it.item.age = std::max(
                std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(now - it.at));
            taken.push_back(it.item);
            isNews = isNews || it.isUrgent;
            if (--it.sends > 0) {
                add(std::move(it));
            }
        }
        return taken;
    }

    std::size_t size() const { return m_items.size(); }

private:
    /// Urgent ones first, then those with the most sends left, and among them the earliest.
    std::vector<Item> m_items;
};

} // namespace Pollenwind
