#include "Common/Sleep.h"
#include "Gateway/EraStore.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/WeightsDriver.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

const std::string stateKey(orderStateKey);

/// Runners that report old weights until they are ordered to load newer ones.
class ScriptedWeights final : public WeightsClient {
public:
    explicit ScriptedWeights(const EraStore& store)
        : m_store(store)
    {
    }

    Task<Outcome<RunnerReport>> report(Endpoint, std::chrono::nanoseconds) override
    {
        ++reports;
        if (auto handler = std::exchange(onReport, nullptr)) {
            co_await handler();
        }
        if (reportError) {
            co_return std::unexpected(*reportError);
        }
        RunnerReport report;
        report.weights["model"] = orders.empty() ? 1 : 2;
        report.incarnation = Incarnation(1);
        co_return report;
    }

    Task<Outcome<void>> load(WeightsOrder order, std::chrono::nanoseconds) override
    {
        orders.push_back(order);
        statesAtOrder.push_back(m_store.find(stateKey).value);
        co_return Outcome<void> {};
    }

    /// Called at the next request for a report.
    std::function<Task<>()> onReport;
    /// Result of requests for a report.
    std::optional<Error> reportError;
    unsigned reports = 0;
    std::vector<WeightsOrder> orders;
    /// State record of the orders when each order arrived.
    std::vector<std::string> statesAtOrder;

private:
    const EraStore& m_store;
};

struct WeightsFixture {
    WeightsFixture()
    {
        runners.updateEntry(makeRunner("r1"));
        runners.setTargetWeights("model", 2, clock.now(), ChangeSource::Event);
    }

    template <typename Scenario> void run(Scenario scenario)
    {
        asio::co_spawn(context, lease.run(), asio::detached);
        asio::co_spawn(context, driver.run(), asio::detached);
        asio::co_spawn(
            context,
            [&]() -> Task<> {
                co_await scenario();
                context.stop();
            },
            [](const std::exception_ptr& error) { cr_assert(!error); });
        context.run();
    }

    void readAll()
    {
        lease.updateStorePosition(store.currentPosition());
        if (const auto state = store.find(stateKey); state.modRevision != 0) {
            lease.updateState(state.value, state.modRevision);
        }
        lease.clearHolder();
    }

    Task<> waitFor(std::function<bool()> condition)
    {
        for (unsigned n = 0; n < 800 && !condition(); ++n) {
            co_await sleepFor(5ms);
        }
        cr_assert(condition());
    }

    asio::io_context context;
    ManualClock clock;
    Timeline timeline { clock, "test" };
    EraStore store;
    OrderLease lease { clock, store, timeline, VmId("own"), Incarnation(1), { .renewInterval = 20ms } };
    RunnerTable runners { clock, timeline, {} };
    ScriptedWeights weights { store };
    WeightsDriver driver { context.get_executor(), clock, runners, runners, lease, weights, timeline, VmId("own"), {} };
};

} // namespace

// Guards against an order without a record that orders may be in progress, after which the next holder would not wait:
// the load began under a lease of an earlier era of the store, whose records the copy lacks.
Test(WeightsDriver, givesNoOrderBeforeItIsRecordedInTheNewEra)
{
    WeightsFixture fixture;
    fixture.run([&]() -> Task<> {
        const auto copied = fixture.store.copy();
        bool isRestored = false;
        fixture.weights.onReport = [&]() -> Task<> {
            cr_assert(fixture.store.find(stateKey).value.find("true") != std::string::npos);
            fixture.store.restore(copied);
            fixture.store.failingKey = stateKey;
            fixture.readAll();
            co_await fixture.waitFor([&] { return fixture.lease.isHeld(); });
            isRestored = true;
        };
        fixture.readAll();
        co_await fixture.waitFor([&] { return isRestored; });
        co_await sleepFor(300ms);
        cr_assert(fixture.weights.orders.empty());
        fixture.store.failingKey.clear();
        co_await fixture.waitFor([&] { return !fixture.weights.orders.empty(); });
        cr_assert(fixture.weights.statesAtOrder[0].find("true") != std::string::npos);
        cr_assert_eq(StorePosition::eraOf(fixture.weights.orders[0].fencingToken).value(), 2);
    });
}

// Guards against a runner that sends bytes without end instead of a report and is asked for it again at once: reading
// them took the processor and the memory of the VM for as long as the runner had old weights.
Test(WeightsDriver, asksARunnerWithoutAReportAgainOnlyAfterAPause)
{
    WeightsFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.weights.reportError = Error { ErrorCode::ProtocolError, "the body is too large", RunState::Unknown };
        fixture.readAll();
        for (unsigned asked = 1; asked <= 3; ++asked) {
            co_await fixture.waitFor([&] { return fixture.weights.reports >= asked; });
            // Several rounds of the driver. The clock stands still.
            co_await sleepFor(1200ms);
            cr_assert_eq(fixture.weights.reports, asked);
            // Longer than the last pause, twice the one before.
            fixture.clock.advance(600ms * (1 << (asked - 1)));
            fixture.readAll();
        }
        fixture.weights.reportError.reset();
        fixture.clock.advance(10s);
        fixture.readAll();
        co_await fixture.waitFor([&] { return !fixture.weights.orders.empty(); });
    });
}

// Guards against avoiding a sound runner's reports because this process had no descriptor to ask for one.
Test(WeightsDriver, asksAgainAtOnceAfterAShortageOfThisProcess)
{
    WeightsFixture fixture;
    fixture.run([&]() -> Task<> {
        fixture.weights.reportError = Error { ErrorCode::Overloaded, "Too many open files", RunState::NotRun };
        fixture.readAll();
        // The clock stands still, so a pause would not end.
        co_await fixture.waitFor([&] { return fixture.weights.reports >= 2; });
        fixture.weights.reportError.reset();
        co_await fixture.waitFor([&] { return !fixture.weights.orders.empty(); });
    });
}
