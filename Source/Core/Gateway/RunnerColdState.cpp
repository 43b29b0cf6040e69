#include "Gateway/RunnerColdState.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Longest remaining time that an entry can tell if the service has none. Each entry can tell it again.
    constexpr std::chrono::seconds longestColdTime { 60 };

} // namespace

void RunnerColdState::recordEntry(
    const RunnerEntry& entry, MonotonicTime now, WallTime wallNow, bool isNewProcess, bool isReplacement)
{
    if (isNewProcess) {
        *this = {};
        m_seenAt = now;
        m_coldSince = now;
        m_isReplacement = isReplacement;
    } else if (entry.revision > 0 && entry.revision == m_revision) {
        // Read again, so that the remaining time is older than this read.
        return;
    }
    const bool wasCold = m_reportedTime && now < m_reportedAt + *m_reportedTime;
    const bool isCold = entry.coldTime && entry.coldTime->count() > 0;
    if (m_reportedTime && m_reportedTime->count() > 0 && !isCold) {
        m_coldEndedAt = std::min(now, m_reportedAt + *m_reportedTime);
    }
    m_revision = entry.revision;
    m_reportedTime = entry.coldTime;
    m_reportedAt = now;
    m_startedAt.reset();
    if (entry.startedAt) {
        m_startedAt = now - std::max(WallTime(0), wallNow - *entry.startedAt);
    }
    if (isCold && !wasCold) {
        m_coldSince = now;
    }
}

void RunnerColdState::recordDoubt(MonotonicTime now)
{
    if (now >= m_doubtUntil) {
        m_doubtSince = now;
    }
    m_doubtUntil = now + doubtTime;
}

MonotonicTime RunnerColdState::coldUntil(const ColdRule& rule) const
{
    const auto longest = rule.time.count() > 0 ? rule.time : longestColdTime;
    if (m_reportedTime) {
        return m_reportedTime->count() > 0 ? m_reportedAt + std::min(*m_reportedTime, longest) : m_coldEndedAt;
    }
    if (m_startedAt) {
        return *m_startedAt + rule.time;
    }
    return m_isReplacement ? m_seenAt + rule.time : MonotonicTime(0);
}

std::optional<MonotonicTime> RunnerColdState::coldSince(const ColdRule& rule, MonotonicTime now, double spread) const
{
    if (rule.requestsPerSecond <= 0) {
        return std::nullopt;
    }
    const auto until = coldUntil(rule);
    // A process that was warm when it was first seen has no return that must be spread.
    const bool wasCold = until > m_coldSince;
    if (wasCold && now < until + std::chrono::duration_cast<MonotonicTime>(returnSpreadTime * spread)) {
        return m_coldSince;
    }
    return now < m_doubtUntil ? std::optional(m_doubtSince) : std::nullopt;
}

} // namespace Pollenwind
