#include "Gateway/RunnerSuspicion.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // A heartbeat of 1.2 s and the pause in which a VM gathers changes.
    constexpr std::chrono::milliseconds assumedWeightsTime { 2200 };

    // A runner that cannot be reached is tried again after this time; entries of crashed ones lapse after 3.6 s.
    constexpr std::chrono::milliseconds unreachableTime { 1000 };

    // So many VMs must fail to reach a runner before the others leave it out: one alone may be cut off itself.
    constexpr std::size_t agreeingVms = 2;

    // Two or three reports tell of a failure.
    constexpr std::chrono::milliseconds failureNewsTime { 600 };

    bool isNews(MonotonicTime at, MonotonicTime now) { return at.count() > 0 && at >= now - failureNewsTime; }

} // namespace

void RunnerSuspicion::noteRefusal(MonotonicTime until) { m_avoidUntil = until; }

void RunnerSuspicion::noteUnreachable(MonotonicTime now)
{
    m_unreachableAt = now;
    m_avoidUntil = std::max(m_avoidUntil, now + unreachableTime);
}

void RunnerSuspicion::noteUnreachableFor(const VmId& vm, MonotonicTime now) { m_unreachableFor[vm] = now; }

bool RunnerSuspicion::noteReplaced(MonotonicTime now)
{
    if (isReplaced()) {
        return false;
    }
    m_replacedAt = now;
    return true;
}

void RunnerSuspicion::noteOtherWeights(
    const std::string& model, WeightsVersion expected, WeightsVersion newest, MonotonicTime now)
{
    if (newest <= expected) {
        // Neither the weights of the entry nor the newest ones.
        m_assumed.reset();
        m_avoidUntil = now + assumedWeightsTime;
        return;
    }
    m_assumed = AssumedWeights { model, newest, now + assumedWeightsTime };
}

void RunnerSuspicion::noteWeightsKnown()
{
    m_avoidUntil = {};
    m_assumed.reset();
}

bool RunnerSuspicion::isDoubtful(MonotonicTime now) const
{
    const auto agreeing
        = std::ranges::count_if(m_unreachableFor, [now](const auto& it) { return it.second >= now - unreachableTime; });
    return now < m_avoidUntil || static_cast<std::size_t>(agreeing) >= agreeingVms;
}

WeightsVersion RunnerSuspicion::assumedWeights(const std::string& model, WeightsVersion known, MonotonicTime now) const
{
    const bool isAssumed = m_assumed && m_assumed->model == model && now < m_assumed->until;
    return isAssumed ? std::max(known, m_assumed->version) : known;
}

bool RunnerSuspicion::isUnreachableNews(MonotonicTime now) const { return isNews(m_unreachableAt, now); }

bool RunnerSuspicion::isReplacedNews(MonotonicTime now) const { return isNews(m_replacedAt, now); }

} // namespace Pollenwind
