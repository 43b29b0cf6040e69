#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <optional>

namespace Pollenwind {

/// Learnt rate of the engines of one service: how long a prompt takes until its first output, as a straight line over
/// the prompt tokens that its engine computes up to then. The rate is what the engines achieve under the present load,
/// with other prompts, streams and waits for a slot.
class EngineRate {
public:
    /// Age from which observations do not count.
    static constexpr std::chrono::seconds longestAge { 5 };

    /// Records a prompt that produced its first output.
    /// @param tokensAhead Tokens of yielding prompts without output at the engine when the prompt was sent.
    /// @param ownTokens Tokens of the prompt.
    /// @param time Time from the sending of the prompt.
    void recordFirstOutput(MonotonicTime now, double tokensAhead, double ownTokens, std::chrono::nanoseconds time);

    /// Expected time until the first output of a prompt.
    /// @param tokensAhead Tokens of other prompts without output at the engine.
    /// @param ownTokens Tokens of the prompt. Fewer than usual count as the usual number, so that a request which
    ///     declares too few gains nothing.
    /// @return Nothing without enough recent observations.
    std::optional<std::chrono::nanoseconds> timeToFirstOutput(
        MonotonicTime now, double tokensAhead, double ownTokens) const;

    /// Prompt tokens of a request, at least the usual number and at most 8 times that number, so that a declaration of
    /// too few gains nothing and an absurd one does not decide a sum.
    /// @return Nothing without enough recent observations.
    std::optional<double> countedTokens(MonotonicTime now, double ownTokens) const;

    /// Prompt tokens per second and engine; nothing without enough recent observations.
    std::optional<double> tokensPerSecond(MonotonicTime now) const;
    /// Time since the last observation.
    std::chrono::nanoseconds age(MonotonicTime now) const { return now - m_observedAt; }

private:
    struct Line {
        /// Time for a prompt without tokens, in seconds.
        double base = 0;
        double secondsPerToken = 0;
    };

    std::optional<Line> line(MonotonicTime now) const;

    MonotonicTime m_observedAt { 0 };
    // Sums over the observations, of which older ones weigh less: x is the number of tokens, y the time in seconds.
    double m_weight = 0;
    double m_sumX = 0;
    double m_sumY = 0;
    double m_sumXX = 0;
    double m_sumXY = 0;
    double m_sumOwn = 0;
};

} // namespace Pollenwind
