#include "Moves/ChangePointTest.h"
#include "Moves/Queries/VersionEvaluator.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <optional>
#include <set>

namespace Pollenwind {

namespace {

    // Evidence that rejects a version, and evidence from which on its share must not grow. The first bounds the
    // healthy versions that are rejected, see docs/measurements.md.
    constexpr double rejectionRatio = 500;
    constexpr double suspectRatio = 5;

    // Times of fewer answers of the old version do not show what is usual.
    constexpr std::uint32_t minBaselineSamples = 20;

    // A time is slow from two bins, which is a factor of 1.3 to 1.7, above the quantile of the old version's times on.
    constexpr std::size_t slowMargin = 2;

    /// What a test counts as a bad answer.
    struct Measure {
        MoveReason reason;
        std::string_view text;
        /// Distribution of the time, or null for failures.
        TimeDistribution RouteEvidence::* times;
        double quantile;
        ExcessHypotheses hypotheses;
    };

    constexpr ExcessHypotheses failing { 0.02, { 0.15, 0.3, 0.5, 0.85 } };
    // Beyond the upper quantile a slower version has few answers at first; beyond the lower one it soon has most.
    constexpr ExcessHypotheses beyondMost { 0.04, { 0.2, 0.4, 0.6, 0.9 } };
    constexpr ExcessHypotheses beyondMany { 0.08, { 0.3, 0.5, 0.7, 0.93 } };

    constexpr std::array measures {
        Measure { MoveReason::Failures, "failed", nullptr, 0, failing },
        Measure {
            MoveReason::SlowFirstToken, "slow first tokens", &RouteEvidence::firstTokenPerWork, 0.95, beyondMost },
        Measure {
            MoveReason::SlowFirstToken, "slow first tokens", &RouteEvidence::firstTokenPerWork, 0.75, beyondMany },
        Measure { MoveReason::SlowTokens, "slow tokens", &RouteEvidence::timeBetweenTokens, 0.95, beyondMost },
        Measure { MoveReason::SlowTokens, "slow tokens", &RouteEvidence::timeBetweenTokens, 0.75, beyondMany },
    };

    constexpr std::size_t measureCount = measures.size();

    std::uint32_t increase(std::uint32_t before, std::uint32_t after) { return after > before ? after - before : 0; }

    /// Evidence of one version on one class of requests until the end of each slot; null before its first request.
    using ClassTotals = std::vector<const RouteEvidence*>;

    /// Answers and bad answers of one version on one class until the end of a slot.
    struct Counts {
        std::uint32_t answers = 0;
        std::uint32_t bad = 0;
    };

    Counts countsOf(const RouteEvidence* evidence, const Measure& measure, std::size_t slowBin)
    {
        if (!evidence) {
            return {};
        }
        if (!measure.times) {
            return { evidence->requests, std::min(evidence->failures, evidence->requests) };
        }
        const auto& times = evidence->*measure.times;
        return { times.total(), times.countFrom(slowBin) };
    }

    /// First bin whose times are slow, or nothing when the old version's times are too few.
    std::optional<std::size_t> slowBinOf(const RouteEvidence* baseline, const Measure& measure)
    {
        if (!measure.times) {
            return 0;
        }
        if (!baseline || (baseline->*measure.times).total() < minBaselineSamples) {
            return std::nullopt;
        }
        return (baseline->*measure.times).binOfQuantile(measure.quantile) + slowMargin;
    }

    /// Adds the slots of one class to those of its route.
    void addClass(RouteSlots& route, const ClassTotals& oldTotals, const ClassTotals& newTotals, const Measure& measure,
        std::size_t slowBin)
    {
        Counts lastOld;
        Counts lastNew;
        for (std::size_t i = 0; i < oldTotals.size(); ++i) {
            const auto oldCounts = countsOf(oldTotals[i], measure, slowBin);
            const auto newCounts = countsOf(newTotals[i], measure, slowBin);
            SlotCounts slot { increase(lastOld.answers, oldCounts.answers), increase(lastOld.bad, oldCounts.bad),
                increase(lastNew.answers, newCounts.answers), increase(lastNew.bad, newCounts.bad) };
            // A late request may turn out to have failed, which moves it from one test to another.
            slot.oldBad = std::min(slot.oldBad, slot.oldAnswers);
            slot.newBad = std::min(slot.newBad, slot.newAnswers);
            route[i].add(slot);
            lastOld = oldCounts;
            lastNew = newCounts;
        }
    }

    /// Slots of one route.
    struct RouteTrend {
        RouteSlots usualLoad;
        RouteSlots fullLoad;

        SlotCounts sum() const
        {
            auto all = sumOf(usualLoad);
            all.add(sumOf(fullLoad));
            return all;
        }
    };

    using Trends = std::map<std::string, RouteTrend>;
    using TrendsByMeasure = std::array<Trends, measureCount>;

    TrendsByMeasure trendsOf(const std::vector<const MoveEvidence*>& totals)
    {
        const auto classTotals = [&totals](auto versions, const std::string& key) {
            ClassTotals all;
            for (const auto* total : totals) {
                const auto it = (total->*versions).find(key);
                all.push_back(it == (total->*versions).end() ? nullptr : &it->second);
            }
            return all;
        };
        std::set<std::string> keys;
        const auto addKeys = [&keys](const auto& routes) {
            std::ranges::transform(routes, std::inserter(keys, keys.end()), [](const auto& it) { return it.first; });
        };
        addKeys(totals.back()->oldVersion);
        addKeys(totals.back()->newVersion);
        TrendsByMeasure trends;
        for (const auto& key : keys) {
            auto evidenceClass = decodeEvidenceClass(key);
            const bool isFullLoad = evidenceClass.isFullLoad;
            evidenceClass.isFullLoad = false;
            const auto oldTotals = classTotals(&MoveEvidence::oldVersion, key);
            const auto newTotals = classTotals(&MoveEvidence::newVersion, key);
            const auto baseline = isFullLoad
                ? classTotals(&MoveEvidence::oldVersion, encodeEvidenceClass(evidenceClass)).back()
                : oldTotals.back();
            for (std::size_t i = 0; i < measureCount; ++i) {
                const auto slowBin = slowBinOf(baseline, measures.at(i));
                auto& trend = trends.at(i)[evidenceClass.route];
                trend.usualLoad.resize(totals.size());
                trend.fullLoad.resize(totals.size());
                if (slowBin) {
                    addClass(
                        isFullLoad ? trend.fullLoad : trend.usualLoad, oldTotals, newTotals, measures.at(i), *slowBin);
                }
            }
        }
        return trends;
    }

    std::string describe(const Measure& measure, const SlotCounts& sum)
    {
        std::array<char, 160> buf {};
        std::snprintf(buf.data(), buf.size(), "%u of %u %s, %u of %u of the old version", sum.newBad, sum.newAnswers,
            std::string(measure.text).c_str(), sum.oldBad, sum.oldAnswers);
        return buf.data();
    }

    /// Keeps the strongest evidence.
    class Strongest {
    public:
        void consider(double evidence, const Measure& measure, const std::string& route, const SlotCounts& sum)
        {
            if (evidence < evaluation.likelihoodRatio) {
                return;
            }
            evaluation.likelihoodRatio = evidence;
            if (evidence < suspectRatio) {
                return;
            }
            evaluation.isSuspect = true;
            evaluation.fault = evidence >= rejectionRatio ? measure.reason : MoveReason::None;
            evaluation.route = route;
            evaluation.text = describe(measure, sum);
        }

        Evaluation evaluation;
    };

    /// Divides each slot with requests under full load into two. The others of that slot were sent before or after
    /// them, when the level of a disturbance may have been another.
    void divideSlots(Trends& trends)
    {
        std::vector<bool> hasFullLoad;
        for (const auto& [route, trend] : trends) {
            hasFullLoad.resize(trend.fullLoad.size());
            for (std::size_t i = 0; i < trend.fullLoad.size(); ++i) {
                hasFullLoad[i] = hasFullLoad[i] || trend.fullLoad[i].newAnswers + trend.fullLoad[i].oldAnswers > 0;
            }
        }
        for (auto& [route, trend] : trends) {
            RouteTrend divided;
            for (std::size_t i = 0; i < hasFullLoad.size(); ++i) {
                const bool isAfterFullLoad = i > 0 && hasFullLoad[i - 1];
                if (hasFullLoad[i] && isAfterFullLoad) {
                    divided.usualLoad.emplace_back();
                    divided.fullLoad.push_back(trend.fullLoad[i]);
                }
                divided.usualLoad.push_back(trend.usualLoad[i]);
                divided.fullLoad.emplace_back();
                if (hasFullLoad[i] && !isAfterFullLoad) {
                    divided.usualLoad.emplace_back();
                    divided.fullLoad.push_back(trend.fullLoad[i]);
                }
            }
            trend = std::move(divided);
        }
    }

    /// The tests of one route, or of all routes together.
    class RouteTest {
    public:
        explicit RouteTest(const Measure& measure)
            : m_measure(measure)
            , m_throughout(measure.hypotheses)
            , m_underFullLoad(measure.hypotheses)
        {
        }

        void add(const RouteTrend& trend)
        {
            const auto sum = trend.sum();
            const double usual = usualBad(sum);
            m_sum.add(sum);
            m_throughout.addRoute(trend.usualLoad, usual);
            m_throughout.addRoute(trend.fullLoad, usual);
            // A fault under load does not show in the new version's other answers.
            auto oldAnswers = trend.usualLoad;
            std::ranges::for_each(oldAnswers, [](SlotCounts& it) { it.newAnswers = it.newBad = 0; });
            m_underFullLoad.addRoute(oldAnswers, usual);
            m_underFullLoad.addRoute(trend.fullLoad, usual);
            m_badUnderFullLoad += sumOf(trend.fullLoad).newBad;
        }

        void consider(Strongest& strongest, const std::string& route) const
        {
            if (m_sum.newBad > 0) {
                strongest.consider(m_throughout.evidence(), m_measure, route, m_sum);
            }
            if (m_badUnderFullLoad > 0) {
                strongest.consider(m_underFullLoad.evidence(), m_measure, route, m_sum);
            }
        }

    private:
        const Measure& m_measure;
        ChangePointTest m_throughout;
        ChangePointTest m_underFullLoad;
        std::uint32_t m_badUnderFullLoad = 0;
        SlotCounts m_sum;
    };

    void considerMeasure(Strongest& strongest, Trends trends, const Measure& measure)
    {
        divideSlots(trends);
        // A fault on all routes shows on all together before it shows on any of them.
        RouteTest together(measure);
        for (const auto& [route, trend] : trends) {
            RouteTest alone(measure);
            alone.add(trend);
            alone.consider(strongest, route);
            together.add(trend);
        }
        if (trends.size() > 1) {
            together.consider(strongest, "");
        }
    }

} // namespace

Evaluation SequentialEvaluator::evaluate(const EvidenceHistory& history) const
{
    const auto now = history.total();
    std::vector<const MoveEvidence*> totals;
    std::ranges::transform(history.slotTotals(), std::back_inserter(totals), [](const auto& it) { return &it; });
    totals.push_back(&now);
    Strongest strongest;
    strongest.evaluation.text = std::to_string(now.newRequests()) + " requests of the new version";
    auto trends = trendsOf(totals);
    for (std::size_t i = 0; i < measureCount; ++i) {
        considerMeasure(strongest, std::move(trends.at(i)), measures.at(i));
    }
    return strongest.evaluation;
}

} // namespace Pollenwind
