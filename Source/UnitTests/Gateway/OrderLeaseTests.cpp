#include "Common/Sleep.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/OrderLease.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Store in memory that can be made unavailable.
class KeyStore final : public StoreCommands {
public:
    Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expected, std::string value, LeaseId) override
    {
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        if (std::exchange(delaysNextWrite, false)) {
            lateWrites.push_back({ key, value, expected, {} });
            co_return fail(ErrorCode::StoreUnavailable, "no answer", RunState::Unknown);
        }
        co_return swap(key, expected, std::move(value));
    }
    SwapResult swap(const std::string& key, std::int64_t expected, std::string value)
    {
        auto& entry = entries[key];
        if (entry.modRevision != expected) {
            return { false, 0, entry };
        }
        entry = { key, std::move(value), ++revision, {} };
        return { true, revision, std::nullopt };
    }
    /// Executes the writes that got no answer.
    void executeLateWrites()
    {
        for (auto& it : std::exchange(lateWrites, {})) {
            swap(it.key, it.modRevision, std::move(it.value));
        }
    }
    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult(); }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override
    {
        co_return isDown ? Outcome<LeaseId>(fail(ErrorCode::StoreUnavailable, "down")) : LeaseId(1);
    }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId) override
    {
        ++renewals;
        co_return isDown ? Outcome<std::chrono::seconds>(fail(ErrorCode::StoreUnavailable, "down")) : 2s;
    }
    Task<Outcome<void>> revoke(LeaseId) override
    {
        ++revocations;
        co_return Outcome<void> {};
    }

    std::map<std::string, StoreEntry> entries;
    std::int64_t revision = 100;
    unsigned renewals = 0;
    unsigned revocations = 0;
    bool isDown = false;
    /// Executes the next write only in executeLateWrites(), and does not answer it.
    bool delaysNextWrite = false;
    /// Entries with the revision that each write expects.
    std::vector<StoreEntry> lateWrites;
};

struct LeaseFixture {
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

    Task<> waitUntilHeld()
    {
        while (!lease.isHeld()) {
            co_await sleepFor(5ms);
        }
    }

    /// Checks and records an order as the driver does before it sends one.
    /// @return Whether the order may be sent.
    Task<bool> mayGiveOrder() { co_return lease.mayOrder() && co_await lease.beginOrders() && lease.mayOrder(); }

    /// Lets another VM hold the lease while the store turns this one away, and ends that VM's lease.
    /// @param state Record of the other VM's orders.
    Task<> letAnotherVmGiveOrders(const std::string& state)
    {
        store.isDown = true;
        co_await advance(2100ms);
        cr_assert(!lease.isHeld());
        store.entries.erase(std::string(orderHolderKey));
        const auto& known = store.entries.at(std::string(orderStateKey));
        cr_assert(store.swap(std::string(orderStateKey), known.modRevision, state).isSwapped);
        store.isDown = false;
        co_await waitUntilHeld();
    }

    /// Advances the clock and waits until the lease was renewed, or failed to be, at the new time.
    Task<> advance(std::chrono::nanoseconds step)
    {
        clock.advance(step);
        const auto seen = store.renewals;
        while (store.renewals == seen) {
            co_await sleepFor(5ms);
        }
    }

    asio::io_context context;
    ManualClock clock;
    Timeline timeline { clock, "test" };
    KeyStore store;
    OrderLease lease { clock, store, timeline, VmId("own"), Incarnation(1),
        { .renewInterval = 20ms, .handoverPause = 2800ms } };
};

} // namespace

// After another VM that may have given orders, a new holder must wait for the handover pause, so that orders of two VMs
// to one runner are far enough apart.
Test(OrderLease, waitsAfterAnotherVmThatMayHaveGivenOrders)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.updateState(R"({"vm":"other","active":true})", 50);
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(!fixture.lease.mayOrder());
        co_await fixture.advance(1500ms);
        cr_assert(!fixture.lease.mayOrder());
        cr_assert(fixture.lease.mayOrderWithin(1300ms));
        co_await fixture.advance(1300ms);
        cr_assert(fixture.lease.mayOrder());
    });
}

// After a holder without active orders no pause is needed. The state record must be written before the first order.
Test(OrderLease, ordersWithoutAPauseAfterAnIdleHolder)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.updateState(R"({"vm":"other","active":false})", 0);
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(fixture.lease.mayOrder());
        cr_assert(co_await fixture.lease.beginOrders());
        cr_assert(fixture.store.entries.at(std::string(orderStateKey)).value.find("own") != std::string::npos);
        cr_assert(fixture.lease.fencingToken() > 100);
    });
}

// A holder that completes its orders and is killed within seconds must not look idle to the next one, whose orders came
// 2.8 s after the last one at the same runner (gateway soak, seed 2, 20 s).
Test(OrderLease, looksIdleOnlySomeTimeAfterItsLastOrder)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.lease.beginOrders());
        fixture.lease.recordOrder();
        const auto isActive = [&fixture] {
            return fixture.store.entries.at(std::string(orderStateKey)).value.find("true") != std::string::npos;
        };
        for (unsigned n = 0; n < 3; ++n) {
            co_await fixture.advance(1s);
            co_await fixture.lease.endOrders();
            cr_assert(isActive());
        }
        co_await fixture.advance(300ms);
        co_await fixture.lease.endOrders();
        cr_assert(!isActive());
    });
}

// Guards against a late write that hides the orders of this VM: its record that they are completed gets no answer, new
// orders begin, and then the write is executed (review case 3).
Test(OrderLease, recordsItsOrdersAgainAfterAWriteWithoutAnAnswer)
{
    for (const bool isExecutedFirst : { false, true }) {
        LeaseFixture fixture;
        fixture.run([&]() -> Task<> {
            auto& lease = fixture.lease;
            lease.clearHolder();
            co_await fixture.waitUntilHeld();
            cr_assert(co_await lease.beginOrders());
            lease.recordOrder();
            for (unsigned n = 0; n < 4; ++n) {
                co_await fixture.advance(1s);
            }
            fixture.store.delaysNextWrite = true;
            co_await lease.endOrders();
            cr_assert_eq(fixture.store.lateWrites.size(), 1);
            if (isExecutedFirst) {
                fixture.store.executeLateWrites();
                cr_assert(!co_await lease.beginOrders(), "orders began although the record says that there are none");
            }
            cr_assert(co_await lease.beginOrders());
            fixture.store.executeLateWrites();
            const auto& state = fixture.store.entries.at(std::string(orderStateKey)).value;
            cr_assert(state.find("true") != std::string::npos, "%s", state.c_str());
        });
    }
}

// Guards against a successor whose pause begins too soon: a stopped holder released its lease right after an order, and
// the next order to the same runner came 2.87 s later (review case 2).
Test(OrderLease, releasesItsLeaseSomeTimeAfterItsLastOrder)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.lease.beginOrders());
        fixture.lease.recordOrder();
        asio::co_spawn(fixture.context, fixture.lease.release(), asio::detached);
        for (const auto step : { 0ms, 200ms, 199ms }) {
            fixture.clock.advance(step);
            co_await sleepFor(100ms);
            cr_assert_eq(fixture.store.revocations, 0);
            cr_assert(!fixture.lease.mayOrder());
        }
        fixture.clock.advance(1ms);
        while (fixture.store.revocations == 0) {
            co_await sleepFor(5ms);
        }
    });
}

// Guards against orders of two VMs in turns: a VM that the store had turned away acquired the lease again before it
// knew of its successor's orders, and ordered the same runners 1.8 s after them (review case 6).
Test(OrderLease, waitsAfterASuccessorWhoseOrdersItHasNotReceived)
{
    const std::string activeOther = R"({"vm":"other","active":true})";
    for (const bool isReceivedFirst : { false, true }) {
        LeaseFixture fixture;
        fixture.run([&]() -> Task<> {
            fixture.lease.clearHolder();
            co_await fixture.waitUntilHeld();
            cr_assert(co_await fixture.mayGiveOrder());
            co_await fixture.letAnotherVmGiveOrders(activeOther);
            if (isReceivedFirst) {
                const auto& state = fixture.store.entries.at(std::string(orderStateKey));
                fixture.lease.updateState(state.value, state.modRevision);
            }
            cr_assert(!co_await fixture.mayGiveOrder(), "an order without the pause, %s the state was received",
                isReceivedFirst ? "after" : "before");
            co_await fixture.advance(1500ms);
            cr_assert(!co_await fixture.mayGiveOrder());
            co_await fixture.advance(1299ms);
            cr_assert(!co_await fixture.mayGiveOrder());
            co_await fixture.advance(1ms);
            cr_assert(co_await fixture.mayGiveOrder());
        });
    }
}

// Guards against a needless pause: a successor that completed its orders long before is no reason to wait.
Test(OrderLease, ordersWithoutAPauseAfterASuccessorThatWasIdle)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.mayGiveOrder());
        co_await fixture.letAnotherVmGiveOrders(R"({"vm":"other","active":false})");
        // The first write only finds the newer record.
        cr_assert(!co_await fixture.mayGiveOrder());
        cr_assert(co_await fixture.mayGiveOrder());
    });
}

// Guards against a late write that hides the orders of this VM: another VM held the lease in between, and its record
// got no answer. The record must be written again under the new lease, so that the late write finds it changed.
Test(OrderLease, recordsItsOrdersAgainUnderEachLease)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        const std::string stateKey(orderStateKey);
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.mayGiveOrder());
        const auto known = fixture.store.entries.at(stateKey).modRevision;
        fixture.store.isDown = true;
        co_await fixture.advance(2100ms);
        fixture.store.entries.erase(std::string(orderHolderKey));
        fixture.store.isDown = false;
        co_await fixture.waitUntilHeld();
        cr_assert(co_await fixture.mayGiveOrder());
        const auto late = fixture.store.swap(stateKey, known, R"({"vm":"other","active":true})");
        cr_assert(!late.isSwapped, "a late write of another VM hides the orders of this one");
    });
}

// A holder that cannot renew its lease must stop giving orders before the lease can expire.
Test(OrderLease, stopsBeforeTheLeaseCanExpire)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        cr_assert(fixture.lease.mayOrder());
        fixture.store.isDown = true;
        co_await fixture.advance(1500ms);
        cr_assert(fixture.lease.isHeld());
        co_await fixture.advance(150ms);
        cr_assert(!fixture.lease.mayOrder());
        cr_assert(!co_await fixture.lease.beginOrders());
        co_await fixture.advance(400ms);
        cr_assert(!fixture.lease.isHeld());
    });
}

// A newer holder in the store must end the lease of this VM, which may still assume that it holds the lease when the
// response to a write was delayed.
Test(OrderLease, losesTheLeaseToAnotherHolderInTheStore)
{
    LeaseFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.lease.clearHolder();
        co_await fixture.waitUntilHeld();
        fixture.lease.updateHolder("other/2", fixture.lease.fencingToken() + 1);
        cr_assert(!fixture.lease.mayOrder());
        co_return;
    });
}

// The VMs of a large fleet must not all try to acquire an expired lease before they can receive the new holder, which
// takes up to 1.6 s.
Test(OrderLease, spreadsTheAttemptsOfALargeFleet)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    KeyStore store;
    unsigned early = 0;
    for (unsigned n = 0; n < 82; ++n) {
        OrderLease lease(clock, store, timeline, VmId("vm-" + std::to_string(n)), Incarnation(n), {});
        cr_assert(lease.acquireDelay() < 250ms);
        lease.setFleetSize(82);
        cr_assert(lease.acquireDelay() < 5s);
        early += lease.acquireDelay() < 1600ms ? 1 : 0;
    }
    cr_assert(early > 0 && early < 41);
}
