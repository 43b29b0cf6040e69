#include "Gateway/FairShares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Pollenwind {

namespace {

    // Time in which the tokens of a request fall to a third, as for the learnt rate. A peak builds up within one to two
    // seconds.
    constexpr std::chrono::seconds decayTime { 2 };

    // Time after which the entries' units are reset, so that they stay within the range of a double.
    constexpr std::chrono::seconds originAge { 20 };

    // Tokens at or below which an organisation is forgotten.
    constexpr double leastDemand = 1;

    // Two sums of the same numbers may differ by rounding.
    constexpr double roundingTolerance = 1e-9;

} // namespace

void FairShares::moveOrigin(MonotonicTime now)
{
    const double factor = std::exp(-std::chrono::duration<double>(now - m_origin) / decayTime);
    m_origin = now;
    for (auto& it : m_entries) {
        it.demand *= factor;
        it.admitted *= factor;
    }
    for (auto n = m_entries.size(); n > 0; --n) {
        if (m_entries[n - 1].demand <= leastDemand) {
            remove(n - 1);
        }
    }
}

double FairShares::unitsAt(MonotonicTime now)
{
    if (now - m_origin > originAge) {
        moveOrigin(now);
    }
    return std::exp(std::chrono::duration<double>(now - m_origin) / decayTime);
}

void FairShares::remove(std::size_t index)
{
    m_positions.erase(m_entries[index].organisation);
    if (index + 1 < m_entries.size()) {
        m_entries[index] = std::move(m_entries.back());
        m_positions[m_entries[index].organisation] = index;
    }
    m_entries.pop_back();
}

FairShares::Entry& FairShares::entryOf(const OrganisationId& organisation)
{
    if (const auto it = m_positions.find(organisation); it != m_positions.end()) {
        return m_entries[it->second];
    }
    if (m_entries.size() >= maxOrganisations) {
        const auto smallest = std::ranges::min_element(m_entries, {}, &Entry::demand);
        remove(static_cast<std::size_t>(smallest - m_entries.begin()));
    }
    m_positions[organisation] = m_entries.size();
    return m_entries.emplace_back(Entry { .organisation = organisation });
}

const FairShares::Entry* FairShares::find(const OrganisationId& organisation) const
{
    const auto it = m_positions.find(organisation);
    return it == m_positions.end() ? nullptr : &m_entries[it->second];
}

void FairShares::recordDemand(MonotonicTime now, const OrganisationId& organisation, double tokens)
{
    const double units = unitsAt(now);
    entryOf(organisation).demand += tokens * units;
}

void FairShares::withdrawDemand(MonotonicTime now, const OrganisationId& organisation, double tokens)
{
    const double units = unitsAt(now);
    if (const auto it = m_positions.find(organisation); it != m_positions.end()) {
        auto& entry = m_entries[it->second];
        entry.demand = std::max(entry.admitted, entry.demand - tokens * units);
    }
}

void FairShares::recordAdmitted(MonotonicTime now, const OrganisationId& organisation, double tokens)
{
    const double units = unitsAt(now);
    auto& entry = entryOf(organisation);
    entry.admitted += tokens * units;
    // An organisation that was dropped after its demand was recorded has none.
    entry.demand = std::max(entry.demand, entry.admitted);
}

double FairShares::level() const
{
    double demand = 0;
    double left = 0;
    for (const auto& it : m_entries) {
        demand += it.demand;
        left += it.admitted;
    }
    if (left >= demand * (1 - roundingTolerance)) {
        return std::numeric_limits<double>::infinity();
    }
    // Those whose demand is below the level leave the rest to the others, which raises the level.
    auto sharing = m_entries.size();
    const double admitted = left;
    double level = admitted / static_cast<double>(sharing);
    for (;;) {
        left = admitted;
        auto above = m_entries.size();
        for (const auto& it : m_entries) {
            if (it.demand <= level) {
                left -= it.demand;
                --above;
            }
        }
        if (above == sharing || above == 0) {
            return level;
        }
        sharing = above;
        level = left / static_cast<double>(above);
    }
}

bool FairShares::isAboveShare(const OrganisationId& organisation) const
{
    const auto* entry = find(organisation);
    return entry && entry->admitted > std::min(entry->demand, level()) * (1 + roundingTolerance);
}

double FairShares::shareOfDemand(const OrganisationId& organisation) const
{
    const auto* entry = find(organisation);
    return entry && entry->demand > 0 ? std::min(1.0, level() / entry->demand) : 1;
}

} // namespace Pollenwind
