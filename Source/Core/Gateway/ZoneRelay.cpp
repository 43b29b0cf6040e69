#include "Gateway/ZoneRelay.h"

#include <xxhash.h>

#include <algorithm>

namespace Pollenwind {

void ZoneRelay::markReported(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime)
{
    m_reported = zoneTotals;
    m_reportedAt = uptime;
}

void ZoneRelay::recordReport(const VmId& vm, std::uint64_t term, std::chrono::nanoseconds vmUptime,
    const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime)
{
    m_announcements[vm] = { term, vmUptime, uptime };
    if (term > 0 && m_term == 0 && term >= m_latestTerm) {
        markReported(zoneTotals, uptime);
    }
    m_latestTerm = std::max(m_latestTerm, term);
}

void ZoneRelay::recordDirectReports(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime)
{
    m_term = 0;
    markReported(zoneTotals, uptime);
}

void ZoneRelay::update(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime)
{
    bool hasOtherRelay = false;
    bool isSuperseded = false;
    bool isFirst = uptime >= settlingTime;
    for (const auto& [vm, it] : m_announcements) {
        if (uptime - it.receivedAt >= takeoverTime) {
            continue;
        }
        hasOtherRelay = hasOtherRelay || it.term > 0;
        isSuperseded = isSuperseded || it.term > m_term || (it.term == m_term && vm < m_ownVm);
        isFirst = isFirst && (m_ownVm < vm || it.uptime < settlingTime);
    }
    if (m_term > 0) {
        if (isSuperseded) {
            m_term = 0;
            markReported(zoneTotals, uptime);
        }
        return;
    }
    if (isFirst && !hasOtherRelay) {
        m_term = ++m_latestTerm;
    }
}

RelaySums ZoneRelay::sums(const UsageTotals& zoneTotals, std::chrono::nanoseconds uptime) const
{
    RelaySums sums { m_term, uptime - m_reportedAt, {} };
    for (const auto& [organisation, total] : zoneTotals) {
        const auto reported = m_reported.find(organisation);
        const double taken = total - (reported == m_reported.end() ? 0 : reported->second);
        if (taken > 0) {
            sums.usage.emplace(organisation, taken);
        }
    }
    return sums;
}

Incarnation ZoneRelay::incarnationOfTerm(Incarnation process, std::uint64_t term)
{
    const auto value = process.value();
    return Incarnation(XXH3_64bits_withSeed(&value, sizeof(value), term));
}

} // namespace Pollenwind
