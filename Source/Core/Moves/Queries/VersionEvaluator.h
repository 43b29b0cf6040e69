#pragma once

#include "Moves/MoveTypes.h"
#include "Moves/VersionEvidence.h"

#include <string>

namespace Pollenwind {

/// Judgement of a new version so far.
struct Evaluation {
    /// None while too little speaks against the version, otherwise what does.
    MoveReason fault = MoveReason::None;
    /// The evidence leans against the version without being enough for a verdict. The share must not grow meanwhile.
    bool isSuspect = false;
    std::string route;
    /// Figures behind the judgement.
    std::string text;
};

/// Judges a new version by its outcomes against those of the old version at the same time.
class VersionEvaluator {
public:
    VersionEvaluator() = default;
    VersionEvaluator(const VersionEvaluator&) = delete;
    VersionEvaluator& operator=(const VersionEvaluator&) = delete;
    virtual ~VersionEvaluator() = default;

    virtual Evaluation evaluate(const MoveEvidence& evidence) const = 0;
};

/// Judges by sequential tests on each route: one on the rate of failures and one each on the ranks of the two times
/// among those of the old version.
///
/// Each test statistic is a product of bets on single outcomes that no good version can be expected to win, averaged
/// over several sizes of the bet. For a good version the chance that it ever reaches R is at most 1/R (Ville's
/// inequality), so it may be looked at after every request and works from the first few on.
class SequentialEvaluator final : public VersionEvaluator {
public:
    Evaluation evaluate(const MoveEvidence& evidence) const override;
};

namespace detail {

    /// Evidence that a rate of failures is above a bound: likelihood averaged over the rates above the bound, divided
    /// by the likelihood at the bound.
    /// @param bound Highest rate of a good version, between 0 and 1.
    double failureEvidence(std::uint32_t n, std::uint32_t failures, double bound);

    /// Evidence that times are longer than the old version's: bets on the rank of each time.
    /// @param old Times of the old version; must not be empty.
    double slownessEvidence(const TimeDistribution& candidate, const TimeDistribution& baseline);

} // namespace detail

} // namespace Pollenwind
