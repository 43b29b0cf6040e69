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

// Guards against a repeated request at another router that runs the booking again or gets a different response.
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

// Guards against two routers that dispatch the same booking concurrently.
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
    // The first store call of a process grants the lease, the second writes the claim.
    static LossRow rows[] = { { 1, true }, { 2, true }, { 100, false } };
    return cr_make_param_array(LossRow, rows, std::size(rows));
}

// Guards against a lost store response after which the call runs without a claim, runs twice, or is refused as if
// another request held the claim.
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

// Guards against running a call that needs a claim while the store is down, and against refusing calls that need none.
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

// Guards against replaying a stored response for a different call or for another organisation.
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

// Guards against running a booking again after its response was lost, and against reporting it as done.
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

// Guards against a claim that blocks a call although no runner started it.
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

// Guards against taking over the claim of a failed holder, and against reporting its call as still running.
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

// Guards against an encoding that changes bytes of the stored response.
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
