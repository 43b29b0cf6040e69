#include "Moves/ChangePointTest.h"
#include "Moves/Queries/VersionEvaluator.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const VmId vm { "vm" };

MoveEvidence makeCounts(std::uint32_t requests)
{
    MoveEvidence counts;
    counts.newVersion["chat"].requests = requests;
    return counts;
}

/// Answers of a service over time; one slot a step.
class Trend {
public:
    void add(std::uint32_t oldGood, std::uint32_t oldBad, std::uint32_t newGood, std::uint32_t newBad)
    {
        addFailures(m_counts.oldVersion["chat#0"], oldGood, oldBad);
        addFailures(m_counts.newVersion["chat#0"], newGood, newBad);
        close();
    }

    /// Adds one slot of answers that take 20 ms and of answers that take longer.
    void addTimes(std::uint32_t oldAnswers, std::uint32_t newAnswers, std::uint32_t newSlow, milliseconds slow)
    {
        addAnswers(m_counts.oldVersion["chat#0"], oldAnswers, milliseconds(20));
        addAnswers(m_counts.newVersion["chat#0"], newAnswers, milliseconds(20));
        addAnswers(m_counts.newVersion["chat#0"], newSlow, slow);
        close();
    }

    Evaluation evaluate() const { return SequentialEvaluator().evaluate(m_history); }
    Evaluation evaluateTotal() const { return SequentialEvaluator().evaluate(m_history.total()); }

private:
    static void addFailures(RouteEvidence& evidence, std::uint32_t good, std::uint32_t bad)
    {
        addAnswers(evidence, good, milliseconds(20));
        for (std::uint32_t i = 0; i < bad; ++i) {
            evidence.add(AnswerOutcome {});
        }
    }

    static void addAnswers(RouteEvidence& evidence, std::uint32_t n, milliseconds time)
    {
        for (std::uint32_t i = 0; i < n; ++i) {
            evidence.add(AnswerOutcome { true, time, {}, 0 });
        }
    }

    void close()
    {
        m_history.report(vm, 1, m_counts);
        m_now += seconds(1);
        m_history.advance(m_now);
    }

    EvidenceHistory m_history;
    MoveEvidence m_counts;
    MonotonicTime m_now { seconds(1) };
};

} // namespace

// Guards against evidence that is lost when a VM restarts.
Test(EvidenceHistory, keepsTheCountsOfAVmThatRestarts)
{
    EvidenceHistory history;
    history.report(vm, 1, makeCounts(10));
    history.report(vm, 2, makeCounts(3));
    cr_assert_eq(history.total().newRequests(), 13);
}

// Guards against a report that arrives late and takes evidence back.
Test(EvidenceHistory, ignoresALateReport)
{
    EvidenceHistory history;
    history.report(vm, 1, makeCounts(10));
    history.report(vm, 1, makeCounts(9));
    cr_assert_eq(history.total().newRequests(), 10);
}

// Guards against memory that grows with the length of a roll-out.
Test(EvidenceHistory, boundsItsSlots)
{
    EvidenceHistory history;
    for (std::uint32_t i = 0; i < 10'000; ++i) {
        history.report(vm, 1, makeCounts(i));
        history.advance(seconds(1) + i * milliseconds(500));
    }
    cr_assert_leq(history.slotTotals().size(), EvidenceHistory::maxSlots);
    cr_assert_geq(history.slotTotals().size(), EvidenceHistory::maxSlots / 4);
}

// Guards against good answers that outvote the bad ones after them. The judgement of the total accepts this version.
Test(HistoryEvaluation, rejectsAVersionThatTurnsBad)
{
    Trend trend;
    for (int i = 0; i < 20; ++i) {
        trend.add(400, 4, 100, 1);
    }
    for (int i = 0; i < 3; ++i) {
        trend.add(400, 4, 8, 8);
    }
    cr_assert(trend.evaluate().fault == MoveReason::Failures);
    cr_assert(trend.evaluateTotal().fault == MoveReason::None);
}

// Guards against blaming the new version for a disturbance, although it has most of the traffic while that lasts. The
// judgement of the total rejects this version.
Test(HistoryEvaluation, comparesBothVersionsInTheSameSlot)
{
    Trend trend;
    for (int i = 0; i < 20; ++i) {
        trend.add(45, 0, 2, 0);
    }
    for (int i = 0; i < 2; ++i) {
        trend.add(4, 3, 21, 16);
    }
    cr_assert_not(trend.evaluate().isSuspect);
    cr_assert(trend.evaluateTotal().fault == MoveReason::Failures);
}

// Guards against a slow version that gets many requests before it is rejected.
Test(HistoryEvaluation, rejectsASlowVersionAfterTwelveAnswers)
{
    Trend trend;
    trend.addTimes(45, 0, 0, milliseconds(100));
    for (int i = 0; i < 12; ++i) {
        trend.addTimes(45, 0, 1, milliseconds(100));
    }
    const auto evaluation = trend.evaluate();
    cr_assert(evaluation.fault == MoveReason::SlowFirstToken);
    cr_assert_eq(evaluation.route, "chat");
    cr_assert_geq(evaluation.likelihoodRatio, 500);
}

// Guards against rejecting a version that is hardly slower than the old one.
Test(HistoryEvaluation, acceptsAVersionOfTheSameSpeed)
{
    Trend trend;
    for (int i = 0; i < 60; ++i) {
        trend.addTimes(45, 2, 1, milliseconds(25));
    }
    cr_assert_not(trend.evaluate().isSuspect);
}

// Guards against an evaluation without any answer of one version.
Test(HistoryEvaluation, findsNothingWithoutAnswers)
{
    cr_assert_not(SequentialEvaluator().evaluate(EvidenceHistory()).isSuspect);
    Trend trend;
    trend.add(0, 0, 3, 0);
    cr_assert_not(trend.evaluate().isSuspect);
}

// Guards against evidence that is no number after many answers in one slot.
Test(ChangePointTest, bearsLargeCounts)
{
    ChangePointTest test({ 0.02, { 0.15, 0.3, 0.5, 0.85 } });
    test.addRoute({ { 2'000'000, 1000, 1'000'000, 400'000 }, { 0, 0, 0, 0 }, { 2'000'000, 900'000, 0, 0 } }, 0.01);
    cr_assert_gt(test.evidence(), 1000);
}
