#pragma once

#include "Moves/EvidenceHistory.h"
#include "Moves/MoveTypes.h"
#include "Moves/VersionEvidence.h"

#include <string>

namespace Pollenwind {

/// Evaluation of a new version so far.
struct Evaluation {
    /// Reason to reject the version; None while the evidence is insufficient.
    MoveReason fault = MoveReason::None;
    /// The evidence points against the version, but may not suffice to reject it. The share must not grow.
    bool isSuspect = false;
    std::string route;
    /// Figures behind the evaluation.
    std::string text;
    /// How much more likely the evidence is with a faulty version than with a healthy one, where that is known.
    double likelihoodRatio = 1;
};

/// Evaluates a new version by comparing its outcomes with those of the old version over the same period.
class VersionEvaluator {
public:
    VersionEvaluator() = default;
    VersionEvaluator(const VersionEvaluator&) = delete;
    VersionEvaluator& operator=(const VersionEvaluator&) = delete;
    virtual ~VersionEvaluator() = default;

    /// Evaluates all evidence at once.
    virtual Evaluation evaluate(const MoveEvidence& evidence) const = 0;

    /// Evaluates evidence over time, which also shows a version that turned bad after a good start.
    virtual Evaluation evaluate(const EvidenceHistory& history) const { return evaluate(history.total()); }
};

/// Evaluates by sequential tests on each route: one on the failure rate, and one on each of the two times by their
/// ranks among the old version's.
///
/// Each test statistic is a product of bets on single outcomes (a test martingale) that a healthy version is not
/// expected to win, averaged over several bet sizes. For a healthy version the probability that it ever reaches R is at
/// most 1/R (Ville's inequality), so it may be checked after every request and works from the first few requests on.
///
/// A history is evaluated by ChangePointTest on each route and on all routes together: on the part of failed answers,
/// and on the parts of the two times that are longer than most of the old version's.
class SequentialEvaluator final : public VersionEvaluator {
public:
    Evaluation evaluate(const MoveEvidence& evidence) const override;
    Evaluation evaluate(const EvidenceHistory& history) const override;
};

namespace detail {

    /// Evidence that a failure rate is above a bound: likelihood averaged over the rates above the bound, divided by
    /// the likelihood at the bound.
    /// @param bound Highest failure rate of a healthy version, between 0 and 1.
    double failureEvidence(std::uint32_t n, std::uint32_t failures, double bound);

    /// Evidence that times are longer than the old version's: bets on the rank of each time.
    /// @param baseline Times of the old version; must not be empty.
    double slownessEvidence(const TimeDistribution& candidate, const TimeDistribution& baseline);

} // namespace detail

} // namespace Pollenwind
