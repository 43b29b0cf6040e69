#include "Moves/VersionEvidence.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MoveEvidence makeReference(milliseconds firstToken, milliseconds betweenTokens)
{
    MoveEvidence evidence;
    for (int i = 0; i < 100; ++i) {
        evidence.oldVersion["chat#0"].add(AnswerOutcome { true, firstToken, betweenTokens, 0 });
    }
    return evidence;
}

OutstandingRequest makeOutstanding(milliseconds firstToken, milliseconds betweenTokens)
{
    return { "chat#0", true, firstToken, betweenTokens, 0 };
}

} // namespace

// Guards against answers of one second and of eight seconds that look alike.
Test(TimeDistribution, tellsSlowTimesFromVerySlowOnes)
{
    cr_assert_lt(TimeDistribution::binOf(seconds(1)), TimeDistribution::binOf(seconds(3)));
    cr_assert_lt(TimeDistribution::binOf(seconds(8)), TimeDistribution::binOf(seconds(30)));
    cr_assert_eq(TimeDistribution::binOf(seconds(300)), TimeDistribution::binCount - 1);
}

// Guards against a quantile beside the samples, which would make each answer late or none.
Test(TimeDistribution, findsTheBinOfAQuantile)
{
    TimeDistribution times;
    for (int i = 0; i < 95; ++i) {
        times.add(milliseconds(10));
    }
    for (int i = 0; i < 5; ++i) {
        times.add(seconds(1));
    }
    cr_assert_eq(times.binOfQuantile(0.95), TimeDistribution::binOf(milliseconds(10)));
    cr_assert_eq(times.binOfQuantile(0.99), TimeDistribution::binOf(seconds(1)));
    cr_assert_eq(times.countFrom(TimeDistribution::binOf(seconds(1))), 5);
    cr_assert_eq(TimeDistribution().binOfQuantile(0.95), 0);
}

// Guards against comparing short prompts with long ones, and against losing the route of a class.
Test(EvidenceClass, separatesSizesAndKeepsTheRoute)
{
    cr_assert_eq(evidenceClass("chat", 10), "chat#0");
    cr_assert_eq(evidenceClass("chat", 255), evidenceClass("chat", 0));
    cr_assert_neq(evidenceClass("chat", 256), evidenceClass("chat", 255));
    cr_assert_neq(evidenceClass("chat", 6000), evidenceClass("chat", 1000));
    cr_assert_eq(evidenceClass("chat", 4'000'000'000), evidenceClass("chat", 20'000));
    cr_assert(routeOfClass(evidenceClass("a#b", 5000)) == "a#b");
    cr_assert(routeOfClass("chat") == "chat");
}

// Guards against a version that gives no evidence since it does not answer.
Test(LateRequests, countsARequestThatIsSlowBeforeItIsAnswered)
{
    const auto reference = makeReference(milliseconds(100), milliseconds(10));
    MoveEvidence report;
    const std::array young { makeOutstanding(milliseconds(90), milliseconds(0)) };
    addLateRequests(report, reference, young);
    cr_assert_eq(report.newRequests(), 0);
    const std::array old { makeOutstanding(milliseconds(800), milliseconds(0)) };
    addLateRequests(report, reference, old);
    cr_assert_eq(report.newVersion.at("chat#0").requests, 1);
    cr_assert_eq(report.newVersion.at("chat#0").failures, 0);
}

// Guards against a stream that stops after its first token and is judged only when it ends.
Test(LateRequests, countsAStreamThatPausesTooLong)
{
    const auto reference = makeReference(milliseconds(100), milliseconds(10));
    MoveEvidence report;
    const std::array outstanding { makeOutstanding(milliseconds(90), milliseconds(80)) };
    addLateRequests(report, reference, outstanding);
    cr_assert_eq(report.newVersion.at("chat#0").timeBetweenTokens.total(), 1);
}

// Guards against calling a request late that cannot be compared.
Test(LateRequests, needsTimesOfTheOldVersion)
{
    MoveEvidence report;
    const std::array outstanding { makeOutstanding(seconds(9), milliseconds(0)) };
    addLateRequests(report, {}, outstanding);
    cr_assert_eq(report.newRequests(), 0);
}
