#pragma once

#include "Store/StorePosition.h"

#include <optional>

namespace Pollenwind {

/// Tells from the positions that a part of the system receives whether the store was restored.
class StoreEraTracker {
public:
    /// Takes over a position.
    /// @return Whether it is the first one after a restore. The first position of all counts as such if the store was
    /// restored before.
    bool update(std::int64_t position)
    {
        const auto era = StorePosition::eraOf(position);
        if (position == 0 || (m_era && era <= *m_era)) {
            return false;
        }
        m_hasCrossed = m_era.has_value();
        m_era = era;
        m_isRestored = m_hasCrossed || era > StoreEra(firstEra);
        return m_isRestored;
    }

    /// Whether a position belongs to an earlier era than the present one.
    bool isEarlier(std::int64_t position) const { return m_era && StorePosition::isBefore(position, *m_era); }

    /// Whether the store has been restored, as far as this process can know.
    bool isRestored() const { return m_isRestored; }

    /// Whether this process received positions before the last restore.
    bool hasCrossed() const { return m_hasCrossed; }

private:
    /// Era of a store that was never restored.
    static constexpr std::int64_t firstEra = 1;

    std::optional<StoreEra> m_era;
    bool m_isRestored = false;
    bool m_hasCrossed = false;
};

} // namespace Pollenwind
