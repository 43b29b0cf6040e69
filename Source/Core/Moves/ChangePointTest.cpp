#include "Moves/ChangePointTest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Pollenwind {

namespace {

    // Excess of bad answers during a disturbance of both versions; the first is no disturbance.
    constexpr std::array disturbanceLevels { 0.0, 0.07, 0.15, 0.25, 0.35, 0.45, 0.55, 0.67, 0.8, 0.93, 0.99 };

    // Probabilities for each slot.
    constexpr double disturbanceBegins = 0.02;
    constexpr double disturbanceEnds = 0.1;
    constexpr double disturbanceChanges = 0.1;

    // Half of the weight is on a version that is faulty from its first answer on.
    constexpr double faultFromTheStart = 0.5;
    constexpr double faultBeginsLater = 0.01;

    // Probability that a disturbance hits the new version by one level more, and that it does so by one less: requests
    // of both versions are alike in size only on average.
    constexpr double unevenDisturbance = 0.25;

    // More answers of one version in one slot count as so many. In a disturbance answers are not independent, and the
    // levels above are not exact.
    constexpr double mostAnswers = 60;

    // One bad answer in 100 is the prior of the usual part.
    constexpr double priorBad = 1;
    constexpr double priorAnswers = 100;

    double join(double one, double other) { return one + (1 - one) * other; }

    double sum(const auto& values) { return std::accumulate(values.begin(), values.end(), 0.0); }

    struct Logarithms {
        explicit Logarithms(double part)
            : bad(std::log(part))
            , good(std::log(1 - part))
        {
        }

        double of(std::uint32_t answers, std::uint32_t badAnswers) const
        {
            const double weight = std::min(1.0, mostAnswers / std::max(1.0, static_cast<double>(answers)));
            return weight * (badAnswers * bad + (answers - std::min(answers, badAnswers)) * good);
        }

        double bad;
        double good;
    };

} // namespace

void SlotCounts::add(const SlotCounts& other)
{
    oldAnswers += other.oldAnswers;
    oldBad += other.oldBad;
    newAnswers += other.newAnswers;
    newBad += other.newBad;
}

SlotCounts sumOf(const RouteSlots& slots)
{
    SlotCounts all;
    std::ranges::for_each(slots, [&all](const SlotCounts& it) { all.add(it); });
    return all;
}

double usualBad(const SlotCounts& sum)
{
    return std::clamp((sum.oldBad + priorBad) / (sum.oldAnswers + priorAnswers), 0.001, 0.95);
}

ChangePointTest::ChangePointTest(const ExcessHypotheses& hypotheses)
    : m_hypotheses(hypotheses)
{
}

void ChangePointTest::addRoute(const RouteSlots& route, double usual)
{
    m_slots.resize(std::max(m_slots.size(), route.size()));
    for (std::size_t level = 0; level < levelCount; ++level) {
        const double base = join(usual, disturbanceLevels.at(level));
        const Logarithms old(base);
        for (std::size_t i = 0; i < route.size(); ++i) {
            m_slots[i].oldAnswers.at(level) += old.of(route[i].oldAnswers, route[i].oldBad);
        }
        for (std::size_t k = 0; k < excessCount; ++k) {
            const Logarithms candidate(join(base, k == 0 ? m_hypotheses.tolerated : m_hypotheses.faulty.at(k - 1)));
            for (std::size_t i = 0; i < route.size(); ++i) {
                m_slots[i].newAnswers.at(k).at(level) += candidate.of(route[i].newAnswers, route[i].newBad);
            }
        }
    }
    for (std::size_t i = 0; i < route.size(); ++i) {
        m_slots[i].hasNewAnswers = m_slots[i].hasNewAnswers || route[i].newAnswers > 0;
    }
}

ChangePointTest::Levels ChangePointTest::nextLevels(const Levels& levels)
{
    constexpr double others = levelCount - 1;
    const double disturbed = sum(levels) - levels.front();
    Levels next {};
    next.front() = levels.front() * (1 - disturbanceBegins) + disturbed * disturbanceEnds;
    for (std::size_t i = 1; i < levelCount; ++i) {
        next.at(i) = levels.at(i) * (1 - disturbanceEnds - disturbanceChanges) + disturbed * disturbanceChanges / others
            + levels.front() * disturbanceBegins / others;
    }
    return next;
}

ChangePointTest::Likelihoods ChangePointTest::likelihoodsOf(const Slot& slot)
{
    // The largest likelihoods become 1, so that none of those that count vanishes.
    const double largestOld = *std::ranges::max_element(slot.oldAnswers);
    Levels old {};
    std::ranges::transform(slot.oldAnswers, old.begin(), [largestOld](double it) { return std::exp(it - largestOld); });
    Likelihoods likelihoods;
    if (!slot.hasNewAnswers) {
        likelihoods.fill(old);
        return likelihoods;
    }
    double largest = slot.newAnswers.front().front();
    for (const auto& levels : slot.newAnswers) {
        largest = std::max(largest, *std::ranges::max_element(levels));
    }
    for (std::size_t k = 0; k < excessCount; ++k) {
        Levels even {};
        std::ranges::transform(
            slot.newAnswers.at(k), even.begin(), [largest](double it) { return std::exp(it - largest); });
        likelihoods.at(k).front() = old.front() * even.front();
        for (std::size_t i = 1; i < levelCount; ++i) {
            const double lower = even.at(std::max<std::size_t>(i - 1, 1));
            const double higher = even.at(std::min(i + 1, levelCount - 1));
            likelihoods.at(k).at(i)
                = old.at(i) * ((1 - 2 * unevenDisturbance) * even.at(i) + unevenDisturbance * (lower + higher));
        }
    }
    return likelihoods;
}

double ChangePointTest::evidence() const
{
    // Likelihoods of a healthy version, of one whose fault has not begun, and of a faulty one by its excess.
    Levels healthy {};
    healthy.front() = 1;
    Levels notBegun = healthy;
    std::array<Levels, ExcessHypotheses::count> begun {};
    bool hasStarted = false;
    for (const auto& slot : m_slots) {
        const double begins = hasStarted ? faultBeginsLater : slot.hasNewAnswers ? faultFromTheStart : 0;
        hasStarted = hasStarted || slot.hasNewAnswers;
        const auto likelihoods = likelihoodsOf(slot);
        healthy = nextLevels(healthy);
        notBegun = nextLevels(notBegun);
        for (std::size_t k = 0; k < begun.size(); ++k) {
            auto& levels = begun.at(k);
            levels = nextLevels(levels);
            for (std::size_t i = 0; i < levelCount; ++i) {
                levels.at(i) = (levels.at(i) + begins * notBegun.at(i)) * likelihoods.at(k + 1).at(i);
            }
        }
        for (std::size_t i = 0; i < levelCount; ++i) {
            healthy.at(i) *= likelihoods.front().at(i);
            notBegun.at(i) *= (1 - begins) * likelihoods.front().at(i);
        }
        const double scale = 1 / std::max(sum(healthy), 1e-290);
        const auto rescale = [scale](double& it) { it = std::min(it * scale, 1e100); };
        std::ranges::for_each(healthy, rescale);
        std::ranges::for_each(notBegun, rescale);
        std::ranges::for_each(begun, [&](Levels& it) { std::ranges::for_each(it, rescale); });
    }
    double evidence = sum(notBegun);
    for (const auto& levels : begun) {
        evidence += sum(levels) / static_cast<double>(begun.size());
    }
    return evidence;
}

} // namespace Pollenwind
