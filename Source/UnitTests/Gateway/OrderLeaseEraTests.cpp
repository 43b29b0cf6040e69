#include "Common/Sleep.h"
#include "Gateway/EraStore.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/OrderLease.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const std::string holderKey(orderHolderKey);
const std::string stateKey(orderStateKey);
const std::string activeOther(R"({"vm":"other","active":true})");

struct EraFixture {
    template <typename Scenario> void run(Scenario scenario)
    {
        asio::co_spawn(context, lease.run(), asio::detached);
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                co_await scenario();
                context.stop();
            },
            [](const std::exception_ptr& error) { cr_assert(!error); });
        context.run();
    }

    /// Reads all records of the store, as the synchronisation does.
    void readAll()
    {
        lease.updateStorePosition(store.currentPosition());
        if (const auto state = store.find(stateKey); state.modRevision != 0) {
            lease.updateState(state.value, state.modRevision);
        }
        if (const auto holder = store.find(holderKey); holder.modRevision != 0) {
            lease.updateHolder(holder.value, holder.modRevision);
        } else {
            lease.clearHolder();
        }
    }

    /// Waits until this VM holds the lease, for a bounded number of turns.
    Task<> waitUntilHeld()
    {
        for (unsigned n = 0; n < 400 && !lease.isHeld(); ++n) {
            co_await sleepFor(5ms);
        }
        cr_assert(lease.isHeld());
    }

    /// Advances the clock in steps between which the lease is renewed.
    Task<> advance(std::chrono::milliseconds time)
    {
        for (; time > 0ms; time -= 500ms) {
            clock.advance(std::min<std::chrono::milliseconds>(time, 500ms));
            const auto seen = store.renewals;
            while (store.renewals == seen) {
                co_await sleepFor(5ms);
            }
        }
    }

    asio::io_context context;
    ManualClock clock;
    Timeline timeline { clock, "test" };
    EraStore store;
    OrderLease lease { clock, store, timeline, VmId("own"), Incarnation(1),
        { .renewInterval = 20ms, .handoverPause = 2800ms } };
};

} // namespace

// Guards against orders of two VMs in turns: the copy does not have the record that another VM may be giving orders,
// and that VM may do so until its lease of the earlier era has ended by its own clock.
Test(OrderLeaseEra, waitsUntilNoHolderOfTheEarlierEraCanGiveOrders)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        fixture.store.write(stateKey, activeOther);
        fixture.store.write(holderKey, "other/1");
        fixture.readAll();
        fixture.store.restore(copied);
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(!fixture.lease.mayOrder());
        co_await fixture.advance(4750ms);
        cr_assert(!fixture.lease.mayOrder());
        co_await fixture.advance(50ms);
        cr_assert(fixture.lease.mayOrder());
    });
}

// Guards against the same by a VM that started after the restore, which knows nothing of the earlier era.
Test(OrderLeaseEra, waitsOnAVmThatStartedAfterTheRestore)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.store.restore(fixture.store.copy());
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        co_await fixture.advance(4750ms);
        cr_assert(!fixture.lease.mayOrder());
        co_await fixture.advance(50ms);
        cr_assert(fixture.lease.mayOrder());
    });
}

// A store that was never restored knows the last holder, so a pause would only delay the first orders.
Test(OrderLeaseEra, ordersAtOnceOnAFreshStore)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(fixture.lease.mayOrder());
    });
}

// Guards against a holder that goes on giving orders after its lease ended with the era, until it fails to renew it.
Test(OrderLeaseEra, losesTheLeaseWithItsEra)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        fixture.store.restore(copied);
        fixture.readAll();
        cr_assert(!fixture.lease.isHeld() && !fixture.lease.mayOrder());
        // Its record in a copy is no lease either.
        co_await fixture.waitUntilHeld();
        fixture.store.restore(fixture.store.copy());
        fixture.readAll();
        cr_assert(!fixture.lease.isHeld() && !fixture.lease.mayOrder());
    });
}

// The VM that held the lease in the earlier era cannot follow another one, so its orders need no pause. Its token must
// rise although the revisions of the store fall, or runners would refuse its orders as late ones.
Test(OrderLeaseEra, goesOnWithAHigherTokenOnTheLastHolder)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        for (unsigned n = 0; n < 50; ++n) {
            fixture.store.write("other", "x");
        }
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        const auto token = fixture.lease.fencingToken();
        fixture.store.restore(copied);
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(fixture.lease.mayOrder());
        cr_assert_gt(fixture.lease.fencingToken(), token);
        cr_assert_lt(StorePosition::revisionOf(fixture.lease.fencingToken()), StorePosition::revisionOf(token));
    });
}

// Guards against the exception of the last holder for a VM that was paused across the restore and whose lease has ended
// by its own clock: another VM may have given orders since.
Test(OrderLeaseEra, waitsWhenItsOwnLeaseHadEndedBeforeTheRestore)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        fixture.clock.advance(2100ms);
        fixture.store.restore(copied);
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(!fixture.lease.mayOrder());
    });
}

// Guards against the pause of an acquisition that is cut short because the lease is acquired again in a new era.
Test(OrderLeaseEra, keepsThePauseOfTheEarlierEra)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        fixture.store.write(stateKey, activeOther);
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(!fixture.lease.mayOrder());
        fixture.store.restore(copied);
        fixture.lease.updateStorePosition(fixture.store.currentPosition());
        fixture.lease.updateState(R"({"vm":"own","active":false})", fixture.store.currentPosition());
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(!fixture.lease.mayOrder());
        co_await fixture.advance(2800ms);
        cr_assert(fixture.lease.mayOrder());
    });
}

// Guards against a lease without a holder until the copy's lease ends, or for ever if it does not: the copy may name
// this VM although its lease is void.
Test(OrderLeaseEra, erasesItsOwnRecordOfTheCopy)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        const auto token = fixture.lease.fencingToken();
        fixture.store.restore(fixture.store.copy());
        fixture.readAll();
        cr_assert_eq(fixture.store.find(holderKey).value, "own/1");
        co_await fixture.waitUntilHeld();
        cr_assert_gt(fixture.lease.fencingToken(), token);
    });
}

// Guards against the same when a write got no answer and took effect: its lease is never renewed, yet the record must
// not be taken for another VM's.
Test(OrderLeaseEra, erasesItsOwnRecordOfAWriteInDoubt)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.store.losesNextAnswer = true;
        fixture.readAll();
        for (unsigned n = 0; n < 200 && fixture.store.losesNextAnswer; ++n) {
            co_await sleepFor(5ms);
        }
        cr_assert(!fixture.lease.isHeld());
        cr_assert_eq(fixture.store.find(holderKey).value, "own/1");
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(fixture.lease.mayOrder());
    });
}

// Guards against a VM that can give no orders for the rest of its life, because the record that it would replace has
// been lost with the earlier era.
Test(OrderLeaseEra, writesTheStateAnewWhenTheCopyLacksIt)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.lease.beginOrders());
        fixture.lease.recordOrder();
        fixture.store.restore(copied);
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.lease.beginOrders());
        cr_assert(fixture.store.find(stateKey).value.find("true") != std::string::npos);
        // The end of the orders is recorded in the new era too.
        co_await fixture.advance(4s);
        co_await fixture.lease.endOrders();
        cr_assert(fixture.store.find(stateKey).value.find("false") != std::string::npos);
    });
}

// The copy may have an older state than this VM knows.
Test(OrderLeaseEra, replacesAnOlderStateOfTheCopy)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.store.write(stateKey, R"({"vm":"other","active":false})");
        const auto copied = fixture.store.copy();
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.lease.beginOrders());
        fixture.store.restore(copied);
        // The first attempt may come before the records have been read, and finds the record of the copy.
        fixture.lease.updateStorePosition(fixture.store.currentPosition());
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        bool isBegun = false;
        for (unsigned n = 0; n < 3 && !isBegun; ++n) {
            isBegun = co_await fixture.lease.beginOrders();
        }
        cr_assert(isBegun);
        cr_assert(fixture.store.find(stateKey).value.find("own") != std::string::npos);
    });
}

// A write in doubt is checked by what the store has, so that orders need no further attempt.
Test(OrderLeaseEra, checksAWriteInDoubtByItsContent)
{
    EraFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.readAll();
        co_await fixture.waitUntilHeld();
        fixture.store.losesNextAnswer = true;
        cr_assert(!co_await fixture.lease.beginOrders());
        cr_assert(co_await fixture.lease.beginOrders());
    });
}
