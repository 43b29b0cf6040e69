#include "Gateway/LeavingRunners.h"

#include <algorithm>
#include <tuple>

namespace Pollenwind {

namespace {

    // Two or three reports contain each announcement, so that it gets through when a datagram is lost.
    constexpr std::chrono::milliseconds reportTime { 600 };

} // namespace

bool LeavingRunners::record(std::uint64_t process, LeavingSource source, std::chrono::nanoseconds age)
{
    const auto now = m_clock.now();
    const bool isOwn = source != LeavingSource::OtherVm;
    const auto it = m_announcements.find(process);
    if (it != m_announcements.end() && (it->second.isOwn || !isOwn)) {
        return false;
    }
    if (it == m_announcements.end() && m_announcements.size() >= maxProcesses) {
        m_announcements.erase(std::ranges::min_element(m_announcements, {},
            [](const auto& known) { return std::tuple(known.second.isOwn, known.second.recordedAt); }));
    }
    m_announcements[process] = { isOwn, now - age, now };
    return true;
}

bool LeavingRunners::isLeaving(std::uint64_t process) const
{
    const auto it = m_announcements.find(process);
    return it != m_announcements.end() && it->second.isOwn;
}

std::vector<LeavingRunner> LeavingRunners::recent() const
{
    const auto now = m_clock.now();
    std::vector<LeavingRunner> list;
    for (const auto& [process, announcement] : m_announcements) {
        if (now - announcement.recordedAt <= reportTime && list.size() < maxReported) {
            list.push_back(
                { process, std::chrono::duration_cast<std::chrono::milliseconds>(now - announcement.madeAt) });
        }
    }
    return list;
}

} // namespace Pollenwind
