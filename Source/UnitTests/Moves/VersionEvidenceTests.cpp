#include "Moves/VersionEvidence.h"

#include <criterion/criterion.h>

using namespace Pollenwind;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

OutstandingRequest makeOutstanding(milliseconds age) { return { "chat#0", true, age, age, milliseconds(0), 0 }; }

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

// Guards against comparing short prompts with long ones.
Test(EvidenceClass, separatesSizes)
{
    cr_assert_eq(sizeClassOf(0), "0");
    cr_assert_eq(sizeClassOf(255), "0");
    cr_assert_eq(sizeClassOf(256), "1");
    cr_assert_neq(sizeClassOf(6000), sizeClassOf(1000));
    cr_assert_eq(sizeClassOf(4'000'000'000), sizeClassOf(20'000));
}

// Guards against losing the route of a class, or a key of a router that records routes only.
Test(EvidenceClass, keepsTheRouteInItsKey)
{
    const auto decoded = decodeEvidenceClass(encodeEvidenceClass({ "a#b", "2", true }));
    cr_assert_eq(decoded.route, "a#b");
    cr_assert_eq(decoded.size, "2");
    cr_assert(decoded.isFullLoad);
    cr_assert_not(decodeEvidenceClass("chat#0").isFullLoad);
    cr_assert_eq(decodeEvidenceClass("chat").route, "chat");
    cr_assert(decodeEvidenceClass("chat").size.empty());
}

// Guards against a version that gives no evidence since it does not answer.
Test(OutstandingRequests, countWithTheirAgeBeforeTheyAreAnswered)
{
    MoveEvidence report;
    const std::array outstanding { makeOutstanding(milliseconds(400)), makeOutstanding(milliseconds(800)) };
    addOutstanding(report, outstanding);
    const auto& evidence = report.newVersion.at("chat#0");
    cr_assert_eq(evidence.requests, 0);
    cr_assert_eq(evidence.firstTokenPerWork.total(), 1);
    cr_assert_eq(evidence.firstTokenPerWork.binOfQuantile(1), TimeDistribution::binOf(milliseconds(800) / 256));
}

// Guards against a stream that stops after its first token and is judged only when it ends.
Test(OutstandingRequests, countTheirPauses)
{
    MoveEvidence report;
    auto request = makeOutstanding(milliseconds(800));
    request.firstToken = milliseconds(90);
    request.betweenTokens = milliseconds(710);
    addOutstanding(report, std::array { request });
    cr_assert_eq(report.newVersion.at("chat#0").timeBetweenTokens.total(), 1);
}

// Guards against quick answers that count before the slow ones that were sent with them.
Test(FinishedRequests, countAtTheJudgingAge)
{
    FinishedRequests finished;
    finished.add(seconds(10), "chat#0", true, { true, milliseconds(5), {}, 0 });
    finished.add(seconds(10), "chat#0", false, { false, {}, {}, 0 });
    MoveEvidence evidence;
    finished.moveTo(evidence, seconds(10) + judgingAge - milliseconds(1));
    cr_assert_eq(evidence.requests(), 0);
    finished.moveTo(evidence, seconds(10) + judgingAge);
    finished.moveTo(evidence, seconds(20));
    cr_assert_eq(evidence.newVersion.at("chat#0").requests, 1);
    cr_assert_eq(evidence.oldVersion.at("chat#0").failures, 1);
}
