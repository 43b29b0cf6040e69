#include "Gateway/ColdRunnerLimit.h"

#include "Common/HashFraction.h"

#include <algorithm>
#include <cmath>

namespace Pollenwind {

namespace {

    using Seconds = std::chrono::duration<double>;

    // VMs that see a fleet of three quarters of its size, because a zone was cut off from the store, send 4/3 of their
    // share.
    constexpr double viewMargin = 4.0 / 3;

    // Places are counted from the last multiple of this wall-clock time. VMs that see different numbers of VMs have
    // periods of different lengths, whose places would drift apart over a longer time.
    constexpr double shortestFrame = 64;
    constexpr double framePeriods = 4;

    constexpr double longestWait = 60;

    // Runners whose use is kept. A service has up to some hundred runners; the use is needed for one period.
    constexpr std::size_t maxUsages = 4096;
    constexpr std::chrono::minutes usageRetention { 10 };

    std::chrono::nanoseconds toTime(double seconds)
    {
        return std::chrono::ceil<std::chrono::nanoseconds>(Seconds(std::clamp(seconds, 0.0, longestWait)));
    }

} // namespace

ColdRunnerLimit::ColdRunnerLimit(const Clock& clock, ColdTolerance tolerance, std::uint64_t vmHash)
    : m_clock(clock)
    , m_tolerance(tolerance)
    , m_vmHash(vmHash)
    , m_startedAt(clock.now())
{
}

void ColdRunnerLimit::setFleet(std::size_t size, std::size_t rank)
{
    const auto now = m_clock.now();
    if (size >= m_largestFleet || now - m_largestAt >= fleetRetention) {
        m_largestFleet = size;
        m_largestAt = now;
    }
    m_fleet = size;
    m_rank = rank;
}

std::size_t ColdRunnerLimit::fleet() const
{
    return std::max<std::size_t>(1, isSettled() ? m_largestFleet : std::max(m_largestFleet, unsettledFleet));
}

double ColdRunnerLimit::period(double rate) const
{
    // In one second the requests arrive of all places in that second and in the time of use before it.
    const double bound = rate * m_tolerance.overage + m_tolerance.slack;
    const double used = std::min(rate, bound / ((1 + Seconds(useTime).count()) * viewMargin));
    return used > 0 ? static_cast<double>(fleet()) / used : 0;
}

double ColdRunnerLimit::place(std::uint64_t process) const
{
    const double own = isSettled() ? static_cast<double>(m_rank) / static_cast<double>(std::max(m_fleet, m_rank + 1))
                                   : toFraction(m_vmHash);
    const double place = own + toFraction(process);
    return place - std::floor(place);
}

std::chrono::nanoseconds ColdRunnerLimit::timeUntilToken(
    std::uint64_t process, double rate, MonotonicTime notBefore) const
{
    const auto now = m_clock.now();
    const double length = period(rate);
    if (length <= 0) {
        return toTime(longestWait);
    }
    const auto it = m_usage.find(process);
    if (length <= Seconds(useTime).count()) {
        const auto first = notBefore + toTime(length);
        const auto next = it == m_usage.end() ? first : std::max(first, it->second.nextAt);
        return std::max(std::chrono::nanoseconds(0), next - now);
    }
    // A place must not be used twice, also by a clock that was set back or in a new frame.
    const auto pause = std::max<std::chrono::nanoseconds>(useTime, toTime(length / 2));
    const auto earliest = it == m_usage.end() ? notBefore : std::max(notBefore, it->second.lastAt + pause);
    const double delay = Seconds(std::max(std::chrono::nanoseconds(0), earliest - now)).count();
    const double frame = std::max(shortestFrame, framePeriods * length);
    const double at = std::fmod(Seconds(m_clock.wallNow()).count(), frame) + delay;
    const double offset = place(process) * length;
    const double begun = std::floor((at - offset) / length);
    const double lastPlace = offset + begun * length;
    if (begun >= 0 && at - lastPlace < Seconds(useTime).count()) {
        return toTime(delay);
    }
    return toTime(delay + std::min(lastPlace + length, frame + offset) - at);
}

void ColdRunnerLimit::take(std::uint64_t process, double rate, MonotonicTime notBefore)
{
    const auto now = m_clock.now();
    if (m_usage.size() >= maxUsages) {
        std::erase_if(m_usage, [now](const auto& it) { return now - it.second.lastAt > usageRetention; });
    }
    const auto length = toTime(period(rate));
    auto& usage = m_usage[process];
    const auto due = usage.nextAt.count() > 0 ? usage.nextAt : notBefore + length;
    usage.nextAt = std::max<MonotonicTime>(due, now - useTime) + length;
    usage.lastAt = now;
}

} // namespace Pollenwind
