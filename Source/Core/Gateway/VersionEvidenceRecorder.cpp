#include "Gateway/VersionEvidenceRecorder.h"

#include <algorithm>

namespace Pollenwind {

namespace {

    // Outputs after which the mean time between the events of a stream is taken. Short streams end before.
    constexpr unsigned sampledOutputs = 8;
    // Time after which the mean is taken from fewer outputs.
    constexpr std::chrono::milliseconds longestSampleTime { 600 };

    // Fixed cost of a first output, expressed in prompt tokens, so that short prompts do not look slow.
    constexpr double fixedWork = 256;

    // An outstanding attempt counts as slow when it takes longer than this part of the old version's.
    constexpr double slowQuantile = 0.95;
    constexpr std::uint32_t minBaselineSamples = 30;

    bool isSlow(const TimeDistribution& baseline, std::chrono::nanoseconds time)
    {
        return baseline.total() >= minBaselineSamples
            && TimeDistribution::binOf(time) > baseline.binOfQuantile(slowQuantile);
    }

    std::chrono::nanoseconds dividedBy(std::chrono::nanoseconds time, double work)
    {
        return std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) / work));
    }

} // namespace

void VersionEvidenceRecorder::start(RolloutAttemptId attempt, bool isTarget, std::string route, double work)
{
    auto& it = m_attempts[attempt];
    it.isTarget = isTarget;
    it.route = std::move(route);
    it.work = fixedWork + std::max(0.0, work);
    it.sentAt = m_clock.now();
}

RouteEvidence& VersionEvidenceRecorder::evidenceOf(const Attempt& attempt)
{
    return (attempt.isTarget ? m_totals.newVersion : m_totals.oldVersion)[attempt.route];
}

void VersionEvidenceRecorder::takeFirstOutput(Attempt& attempt, std::chrono::nanoseconds time)
{
    if (!std::exchange(attempt.isFirstOutputTaken, true)) {
        evidenceOf(attempt).firstTokenPerWork.add(dividedBy(time, attempt.work));
    }
}

void VersionEvidenceRecorder::takePause(Attempt& attempt, std::chrono::nanoseconds pause)
{
    if (!std::exchange(attempt.isPauseTaken, true)) {
        evidenceOf(attempt).timeBetweenTokens.add(pause);
    }
}

void VersionEvidenceRecorder::recordOutput(RolloutAttemptId attempt)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return;
    }
    auto& known = it->second;
    const auto now = m_clock.now();
    known.lastOutputAt = now;
    if (known.firstOutputAt.count() == 0) {
        known.firstOutputAt = now;
        takeFirstOutput(known, now - known.sentAt);
        return;
    }
    ++known.laterOutputs;
    const auto elapsed = now - known.firstOutputAt;
    if (known.laterOutputs >= sampledOutputs || elapsed >= longestSampleTime) {
        takePause(known, elapsed / known.laterOutputs);
    }
}

std::optional<bool> VersionEvidenceRecorder::end(RolloutAttemptId attempt, VersionResult result)
{
    const auto it = m_attempts.find(attempt);
    if (it == m_attempts.end()) {
        return std::nullopt;
    }
    auto& known = it->second;
    if (result == VersionResult::TimedOut && known.firstOutputAt.count() == 0) {
        takeFirstOutput(known, m_clock.now() - known.sentAt);
    }
    if (result == VersionResult::Succeeded || result == VersionResult::Failed) {
        auto& evidence = evidenceOf(known);
        ++evidence.requests;
        evidence.failures += result == VersionResult::Failed ? 1 : 0;
    }
    if (result == VersionResult::Succeeded) {
        // A response that is not streamed has its output at its end.
        takeFirstOutput(known, m_clock.now() - known.sentAt);
        if (known.laterOutputs > 0) {
            takePause(known, (known.lastOutputAt - known.firstOutputAt) / known.laterOutputs);
        }
    }
    const bool isTarget = known.isTarget;
    m_attempts.erase(it);
    return isTarget;
}

void VersionEvidenceRecorder::refresh(const std::map<std::string, RouteEvidence>& baseline)
{
    const auto now = m_clock.now();
    for (auto& [id, attempt] : m_attempts) {
        const auto old = baseline.find(attempt.route);
        if (old == baseline.end()) {
            continue;
        }
        if (attempt.firstOutputAt.count() == 0) {
            const auto age = now - attempt.sentAt;
            if (isSlow(old->second.firstTokenPerWork, dividedBy(age, attempt.work))) {
                takeFirstOutput(attempt, age);
            }
            continue;
        }
        const auto pause = (now - attempt.firstOutputAt) / (attempt.laterOutputs + 1);
        if (now - attempt.firstOutputAt >= longestSampleTime || isSlow(old->second.timeBetweenTokens, pause)) {
            takePause(attempt, pause);
        }
    }
}

} // namespace Pollenwind
