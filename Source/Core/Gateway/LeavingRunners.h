#pragma once

#include "Common/Clock.h"
#include "Gateway/RunnerTypes.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Pollenwind {

/// Runner processes that have announced their shutdown. An announcement is final for a process, so it is kept
/// independently of the runner's entry, which may expire, come back or arrive late. Processes are identified by
/// holderHash(), so that the next process of the same runner is not affected.
class LeavingRunners {
public:
    /// Largest number of processes; beyond it the oldest announcements are dropped, those from other VMs first.
    static constexpr std::size_t maxProcesses = 4096;
    /// Largest number of processes in one report to the other VMs.
    static constexpr std::size_t maxReported = 32;

    explicit LeavingRunners(const Clock& clock)
        : m_clock(clock)
    {
    }

    /// Records an announcement.
    /// @param age Time since the runner made it.
    /// @return False if it was known already. What the runner itself said counts as new after a report of another VM.
    bool record(std::uint64_t process, LeavingSource source, std::chrono::nanoseconds age);

    /// Whether this VM has the announcement from the runner itself.
    bool isLeaving(std::uint64_t process) const;
    /// Whether another VM reported the announcement.
    bool isReported(std::uint64_t process) const { return m_announcements.contains(process); }

    /// Announcements that were recorded so recently that they are reported to the other VMs.
    std::vector<LeavingRunner> recent() const;

private:
    struct Announcement {
        bool isOwn = false;
        MonotonicTime madeAt { 0 };
        MonotonicTime recordedAt { 0 };
    };

    const Clock& m_clock;
    std::map<std::uint64_t, Announcement> m_announcements;
};

} // namespace Pollenwind
