#pragma once

#include <array>
#include <cstdint>
#include <vector>

namespace Pollenwind {

/// Answers of both versions in one slot of time. What counts as bad depends on the test.
struct SlotCounts {
    std::uint32_t oldAnswers = 0;
    std::uint32_t oldBad = 0;
    std::uint32_t newAnswers = 0;
    std::uint32_t newBad = 0;

    void add(const SlotCounts& other);
};

/// Slots of one route; all routes of a test have the same slots.
using RouteSlots = std::vector<SlotCounts>;

SlotCounts sumOf(const RouteSlots& slots);

/// Usual part of bad answers, estimated from the old version's answers.
double usualBad(const SlotCounts& sum);

/// Parts of the new version's answers that may be bad beyond those that would be bad with the old version too.
struct ExcessHypotheses {
    static constexpr std::size_t count = 4;

    /// Excess that a healthy version may have.
    double tolerated = 0;
    /// Excesses of a faulty version.
    std::array<double, count> faulty {};
};

/// Tests whether a new version became worse than the old one at some slot.
///
/// The model: each route has a usual part of bad answers. A disturbance, such as an overload of all runners, adds an
/// excess to both versions on all routes; it may begin, change and end with each slot, and need not hit both versions
/// exactly alike. A faulty version has an excess of its own from some slot on. The evidence is the likelihood of a
/// faulty version, averaged over the slots in which the fault may have begun and over its excesses, divided by the
/// likelihood of a healthy one (the forward algorithm of a hidden Markov model). So a disturbance of both versions is
/// no evidence, and good answers before a fault do not outvote the bad ones after it. For a healthy version the
/// probability that the evidence ever reaches R is about 1/R at most.
class ChangePointTest {
public:
    explicit ChangePointTest(const ExcessHypotheses& hypotheses);

    /// Adds a route.
    /// @param usual The route's usual part of bad answers.
    void addRoute(const RouteSlots& route, double usual);

    /// @return Evidence against the new version; 1 when there is none.
    double evidence() const;

private:
    static constexpr std::size_t levelCount = 11;
    /// The tolerated excess, then those of a faulty version.
    static constexpr std::size_t excessCount = ExcessHypotheses::count + 1;

    /// Likelihoods by level of the disturbance.
    using Levels = std::array<double, levelCount>;

    /// Logarithms of the likelihoods of a slot.
    struct Slot {
        Levels oldAnswers {};
        std::array<Levels, excessCount> newAnswers {};
        bool hasNewAnswers = false;
    };

    using Likelihoods = std::array<Levels, excessCount>;

    static Levels nextLevels(const Levels& levels);
    static Likelihoods likelihoodsOf(const Slot& slot);

    ExcessHypotheses m_hypotheses;
    std::vector<Slot> m_slots;
};

} // namespace Pollenwind
