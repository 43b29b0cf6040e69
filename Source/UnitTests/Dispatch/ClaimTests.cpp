#include "Common/Sleep.h"
#include "Dispatch/ClaimCodec.h"
#include "Dispatch/Queries/ClaimRule.h"
#include "Support/ServingFixture.h"

#include <criterion/parameterized.h>

using namespace Pollenwind;

namespace {

std::uint32_t runsOf(const ServingFixture& fixture, const std::string& key)
{
    std::uint32_t n = 0;
    for (const auto& runner : fixture.runners) {
        const auto it = runner.runs().find(key);
        n += it == runner.runs().end() ? 0 : it->second;
    }
    return n;
}

struct LossRow {
    int lostAnswers;
    bool isRun;
};

} // namespace

// Guards against a repeat at another router that runs the booking again, and against another answer than the first.
Test(Claims, replaysTheStoredAnswerAtAnotherRouter)
{
    ServingFixture fixture;
    auto& first = fixture.addRouter();
    auto& second = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        const auto a = co_await first.plain.run(fixture.booking("k"));
        const auto b = co_await second.plain.run(fixture.booking("k"));
        cr_assert(a && b);
        cr_assert(a->body == b->body && a->status == b->status && a->contentType == b->contentType);
    });
    cr_assert_eq(runsOf(fixture, "k"), 1);
    cr_assert_eq(second.metrics.total(Counter::ClaimsReplayed), 1);
}

// Guards against a booking that two routers dispatch at the same time.
Test(Claims, twoRoutersRaceWithOneKey)
{
    ServingFixture fixture;
    auto& first = fixture.addRouter();
    auto& second = fixture.addRouter();
    int done = 0;
    const auto call = [&](RouterUnderTest& router, std::string key) -> Task<> {
        const auto answer = co_await router.plain.run(fixture.booking(key));
        cr_assert(answer || answer.error().code == ErrorCode::InProgress);
        cr_assert(answer || answer.error().runState == RunState::Unknown);
        ++done;
    };
    fixture.run([&]() -> Task<> {
        const auto executor = co_await asio::this_coro::executor;
        for (int n = 0; n < 20; ++n) {
            asio::co_spawn(executor, call(first, std::to_string(n)), asio::detached);
            asio::co_spawn(executor, call(second, std::to_string(n)), asio::detached);
        }
        while (done < 40) {
            co_await sleepFor(std::chrono::milliseconds(5));
        }
    });
    for (int n = 0; n < 20; ++n) {
        cr_assert_eq(runsOf(fixture, std::to_string(n)), 1);
    }
}

ParameterizedTestParameters(Claims, settlesLostAnswersOfTheStore)
{
    // The first call of a process grants the lease, the second writes the claim.
    static LossRow rows[] = { { 1, true }, { 2, true }, { 100, false } };
    return cr_make_param_array(LossRow, rows, std::size(rows));
}

// Guards against a claim whose lost answer leaves the call unclaimed, run twice, or refused as if it were another's.
ParameterizedTest(LossRow* row, Claims, settlesLostAnswersOfTheStore)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        co_await router.plain.run(fixture.booking("grants-the-lease"));
        fixture.store.setFault(StoreFault::LoseAnswers, row->lostAnswers);
        const auto answer = co_await router.plain.run(fixture.booking("k"));
        cr_assert_eq(answer.has_value(), row->isRun);
        if (!answer) {
            cr_assert(answer.error().code == ErrorCode::StoreUnavailable);
            cr_assert(answer.error().runState == RunState::NotRun);
        }
        cr_assert_eq(runsOf(fixture, "k"), row->isRun ? 1 : 0);
        fixture.store.setFault(StoreFault::LoseAnswers, 0);
        // The claim of a call that was refused as not run must not keep its caller from repeating it.
        const auto repeat = co_await router.plain.run(fixture.booking("k"));
        cr_assert(repeat);
    });
    cr_assert_eq(runsOf(fixture, "k"), 1);
}

// Guards against running a claimed call without a claim, and against refusing calls that need none.
Test(Claims, storeDownRefusesOnlyClaimedCalls)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    fixture.store.setFault(StoreFault::Down, 1);
    fixture.run([&]() -> Task<> {
        const auto claimed = co_await router.plain.run(fixture.booking("k"));
        cr_assert(!claimed && claimed.error().code == ErrorCode::StoreUnavailable);
        cr_assert(claimed.error().runState == RunState::NotRun);
        cr_assert(co_await router.plain.run(fixture.booking("")));
        cr_assert(co_await router.plain.run(fixture.lookup()));
    });
    cr_assert_eq(runsOf(fixture, "k"), 0);
}

// Guards against answering another call, or another organisation's call, with a stored answer.
Test(Claims, keepsCallsAndOrganisationsApart)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        cr_assert(co_await router.plain.run(fixture.booking("k", "{\"day\":1}")));
        const auto otherBody = co_await router.plain.run(fixture.booking("k", "{\"day\":2}"));
        cr_assert(!otherBody && otherBody.error().code == ErrorCode::Conflict);
        auto route = fixture.booking("k", "{\"day\":1}");
        route.target = "/bookings?express=1";
        const auto otherRoute = co_await router.plain.run(route);
        cr_assert(!otherRoute && otherRoute.error().code == ErrorCode::Conflict);
        cr_assert_eq(runsOf(fixture, "k"), 1);

        auto foreign = fixture.booking("k", "{\"day\":1}");
        foreign.caller.organisation = OrganisationId("b");
        cr_assert(co_await router.plain.run(foreign));
        cr_assert_eq(router.metrics.total(Counter::ClaimsReplayed), 0);
    });
    cr_assert_eq(runsOf(fixture, "k"), 2);
}

// Guards against running a booking again whose answer was lost, and against calling it done.
Test(Claims, lostAnswerOfTheRunnerStaysUnknown)
{
    ServingFixture fixture;
    auto& first = fixture.addRouter();
    auto& second = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        for (auto& runner : fixture.runners) {
            runner.setFault(PlainFault::LoseAnswers, 1);
        }
        for (auto* router : { &first, &first, &second }) {
            const auto answer = co_await router->plain.run(fixture.booking("k"));
            cr_assert(!answer && answer.error().code == ErrorCode::OutcomeUnknown);
            cr_assert(answer.error().runState == RunState::Unknown);
        }
    });
    cr_assert_eq(runsOf(fixture, "k"), 1);
}

// Guards against a claim that keeps a call from running although no runner started it.
Test(Claims, refusedCallCanBeRepeated)
{
    ServingFixture fixture;
    auto& router = fixture.addRouter();
    fixture.run([&]() -> Task<> {
        for (auto& runner : fixture.runners) {
            runner.setFault(PlainFault::Refuse, 100);
        }
        const auto refused = co_await router.plain.run(fixture.booking("k"));
        cr_assert(!refused && refused.error().runState == RunState::NotRun);
        for (auto& runner : fixture.runners) {
            runner.setFault(PlainFault::Refuse, 0);
        }
        cr_assert(co_await router.plain.run(fixture.booking("k")));
    });
    cr_assert_eq(runsOf(fixture, "k"), 1);
}

// Guards against a taken-over claim of a holder that vanished, and against calling a lost holder's call running.
Test(Claims, evaluatesRecordsOfFailedHolders)
{
    ClaimRecord record { "attempt", sha256("call"), ClaimState::Running, std::chrono::seconds(100), {} };
    cr_assert(evaluateClaim(record, sha256("call"), std::chrono::seconds(99)) == ClaimResult::InProgress);
    cr_assert(evaluateClaim(record, sha256("call"), std::chrono::seconds(101)) == ClaimResult::OutcomeUnknown);
    cr_assert(evaluateClaim(record, sha256("other"), std::chrono::seconds(101)) == ClaimResult::Conflict);
    const auto large
        = finishedRecord(record, PlainAnswer { 200, "text/plain", std::string(maxStoredBodyBytes + 1, 'x') });
    cr_assert(evaluateClaim(large, sha256("call"), {}) == ClaimResult::AnswerNotKept);
}

// Guards against bytes of an answer that the store's text form changes.
Test(Claims, recordsSurviveEncoding)
{
    std::string body;
    for (int n = 0; n < 256; ++n) {
        body += static_cast<char>(n);
    }
    const ClaimRecord record { "attempt", sha256("call"), ClaimState::Done, std::chrono::milliseconds(1234),
        { 201, "application/octet-stream", body } };
    const auto decoded = ClaimCodec::decode(ClaimCodec::encode(record));
    cr_assert(decoded && decoded->attempt == record.attempt && decoded->call == record.call);
    cr_assert(decoded->state == record.state && decoded->runsUntil == record.runsUntil);
    cr_assert(decoded->answer.status == 201 && decoded->answer.body == body);
    cr_assert(!ClaimCodec::decode("{\"attempt\":\"x\"}") && !ClaimCodec::decode("nonsense"));
}
