#pragma once

#include "Common/Clock.h"
#include "Gateway/RunnerTypes.h"

#include <chrono>
#include <optional>

namespace Pollenwind {

/// How a service treats its cold runners.
struct ColdRule {
    /// Requests a second that a cold runner can handle; 0 if there is no limit.
    double requestsPerSecond = 0;
    /// Time after its start for which a runner is cold.
    std::chrono::milliseconds time { 0 };
};

/// Whether one runner process is cold: it has started a short time ago, or it says so.
class RunnerColdState {
public:
    /// Time for which a runner that could not be reached may be another process by now, whose entry has not been read:
    /// a heartbeat of 1.2 s and the longest delays of the store's changes.
    static constexpr std::chrono::milliseconds doubtTime { 4000 };

    /// Records an entry that was read.
    /// @param isReplacement Whether another process of the runner was known before.
    /// @param isNewProcess Whether this process was not known before.
    void recordEntry(
        const RunnerEntry& entry, MonotonicTime now, WallTime wallNow, bool isNewProcess, bool isReplacement);
    /// Records that the runner could not be reached, so that its process may have been replaced.
    void recordDoubt(MonotonicTime now);

    /// @param spread From 0 to 1, different for each VM, so that the VMs return to the runner one after the other.
    /// @return Time at which this VM learned that the runner is cold; nothing for a warm runner.
    std::optional<MonotonicTime> coldSince(const ColdRule& rule, MonotonicTime now, double spread) const;

private:
    /// When the process becomes or became warm by its entry; 0 if it was not cold.
    MonotonicTime coldUntil(const ColdRule& rule) const;

    /// Remaining time by the last entry, if it told one, and when that was read.
    std::optional<std::chrono::milliseconds> m_reportedTime;
    MonotonicTime m_reportedAt { 0 };
    std::int64_t m_revision = 0;
    std::optional<MonotonicTime> m_startedAt;
    /// When the process was first seen.
    MonotonicTime m_seenAt { 0 };
    bool m_isReplacement = false;
    /// When the process was found cold.
    MonotonicTime m_coldSince { 0 };
    /// When the runner was warm again by its entry; 0 if it was not cold before.
    MonotonicTime m_coldEndedAt { 0 };
    MonotonicTime m_doubtSince { 0 };
    MonotonicTime m_doubtUntil { 0 };
};

/// Time over which the VMs return to runners that were cold or out of service.
inline constexpr std::chrono::milliseconds returnSpreadTime { 2000 };

} // namespace Pollenwind
