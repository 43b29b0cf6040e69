#include "Common/Sleep.h"
#include "Gateway/ConfigurationInquiry.h"
#include "Gateway/FeedFrontEnd.h"
#include "Gateway/GatewayFixture.h"
#include "Transport/HttpServer.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr const char* ownAddress = "127.0.0.7";

class FreshKnowledge final : public FreshnessQueries {
public:
    std::chrono::nanoseconds age() const override { return {}; }
    bool mayAcceptKeys() const override { return true; }
};

/// Counts the requests to a feed.
class CountingHandler final : public HttpHandler {
public:
    explicit CountingHandler(HttpHandler& handler)
        : m_handler(handler)
    {
    }

    Task<> handle(HttpExchange& exchange) override
    {
        ++requests;
        co_await m_handler.handle(exchange);
    }
    HttpAnswer refusal(int status, std::string_view reason) const override { return m_handler.refusal(status, reason); }

    unsigned requests = 0;

private:
    HttpHandler& m_handler;
};

void addVm(FleetView& fleet, const std::string& zone, const Endpoint& endpoint)
{
    fleet.updateRecord(VmId(zone + "/" + endpoint.toString()), FleetView::encodeRecord(endpoint, ZoneId(zone)));
}

/// A VM that asks, and the feed of other VMs, which know version 8.
struct InquiryFixture {
    /// @param isKnown Whether the other VMs know the one that asks.
    explicit InquiryFixture(bool isKnown = true)
    {
        endpoint = *server.listen({ "0.0.0.0", 0 });
        if (isKnown) {
            addVm(otherFleet, "z", { ownAddress, 7600 });
        }
        log.replace({ {}, 20 });
        log.setConfiguration({ 8, { "config", "8 k", 15, LeaseId() } });
    }

    template <typename Scenario> void run(Scenario scenario)
    {
        asio::co_spawn(context, scenario(), [this](const std::exception_ptr& error) {
            cr_assert(!error);
            context.stop();
        });
        context.run();
    }
    Endpoint otherVm(int zone, int n) const
    {
        return { "127.1." + std::to_string(zone) + "." + std::to_string(n), endpoint.port };
    }

    asio::io_context context;
    SystemClock clock;
    Timeline timeline { clock, "test" };
    FleetView otherFleet { clock, timeline, VmId("y1"), ZoneId("y") };
    ChangeLog log;
    FreshKnowledge freshness;
    FeedFrontEnd frontEnd { clock, log, freshness, otherFleet };
    CountingHandler handler { frontEnd };
    HttpServer server { context.get_executor(), handler, {} };
    Endpoint endpoint;
    FleetView fleet { clock, timeline, VmId("z1"), ZoneId("z") };
    ConfigurationInquiry inquiry { clock, fleet, ownAddress };
};

} // namespace

// A VM of any zone must get the configuration in force, and only if it is newer.
Test(ConfigurationInquiry, readsNewerConfigurationsFromVmsOfAllZones)
{
    InquiryFixture fixture;
    addVm(fixture.fleet, "y", fixture.otherVm(1, 1));
    addVm(fixture.fleet, "z", fixture.otherVm(1, 2));
    fixture.run([&]() -> Task<> {
        const auto newer = co_await fixture.inquiry.readNewer(3);
        cr_assert(newer.size() == 2 && newer.front().key == "config" && newer.front().value == "8 k");
        cr_assert((co_await fixture.inquiry.readNewer(8)).empty());
        // Both have answered.
        const auto requests = fixture.handler.requests;
        cr_assert((co_await fixture.inquiry.readNewerFromOthers(3)).empty());
        cr_assert_eq(fixture.handler.requests, requests);
    });
}

// After a restart of all VMs none has read the store, or none knows the others yet. Their answers must not delay the
// start.
Test(ConfigurationInquiry, doesNotWaitForVmsThatKnowNothingNewer)
{
    InquiryFixture fixture(false);
    addVm(fixture.fleet, "y", fixture.otherVm(1, 1));
    fixture.run([&]() -> Task<> {
        cr_assert((co_await fixture.inquiry.readNewer(8)).empty());
        cr_assert_eq(fixture.handler.requests, 1);
        ChangeLog unread;
        fixture.log = unread;
        cr_assert((co_await fixture.inquiry.readNewer(3)).empty());
        cr_assert_eq(fixture.handler.requests, 2);
        // It may have read the store by the next time.
        co_await fixture.inquiry.readNewerFromOthers(3);
        cr_assert_eq(fixture.handler.requests, 3);
    });
}

// A VM at a new address is not known to the others until they have read its record. The configuration contains API
// keys, so they cannot answer before, and the VM must not start from the older one meanwhile.
Test(ConfigurationInquiry, waitsUntilTheOtherVmsKnowThisOne)
{
    InquiryFixture fixture(false);
    addVm(fixture.fleet, "y", fixture.otherVm(1, 1));
    fixture.run([&]() -> Task<> {
        asio::co_spawn(
            fixture.context,
            [&]() -> Task<> {
                co_await sleepFor(250ms);
                addVm(fixture.otherFleet, "z", { ownAddress, 7600 });
            },
            asio::detached);
        cr_assert_eq((co_await fixture.inquiry.readNewer(3)).size(), 1);
    });
}

// A VM that could not be asked is asked again.
Test(ConfigurationInquiry, asksVmsAgainThatDidNotAnswer)
{
    InquiryFixture fixture;
    HttpServer server(fixture.context.get_executor(), fixture.frontEnd, {});
    const Endpoint closed { "127.1.1.1", 7600 };
    addVm(fixture.fleet, "y", closed);
    fixture.run([&]() -> Task<> {
        cr_assert((co_await fixture.inquiry.readNewer(3)).empty());
        cr_assert(server.listen(closed).has_value());
        cr_assert_eq((co_await fixture.inquiry.readNewerFromOthers(3)).size(), 1);
    });
}

// The calls of one start must not grow with the fleet: with 295 VMs, four in its zone and four elsewhere.
Test(ConfigurationInquiry, asksFewVmsOfALargeFleet)
{
    InquiryFixture fixture;
    for (int zone = 1; zone <= 5; ++zone) {
        for (int n = 1; n <= 59; ++n) {
            addVm(fixture.fleet, zone == 1 ? "z" : "y" + std::to_string(zone), fixture.otherVm(zone, n));
        }
    }
    fixture.run([&]() -> Task<> {
        cr_assert_eq((co_await fixture.inquiry.readNewer(3)).size(), 8);
        cr_assert_eq(fixture.handler.requests, 8);
        cr_assert((co_await fixture.inquiry.readNewerFromOthers(3)).empty());
        cr_assert_eq(fixture.handler.requests, 8);
    });
}

// A VM that was cut off together with others must not take their answers for those of the fleet: at least half of its
// own zone and of the other zones have to answer. Without other VMs nobody knows more than the store.
Test(ConfigurationInquiry, countsTheAnswersOfItsZoneAndOfOthers)
{
    InquiryFixture fixture;
    cr_assert(fixture.inquiry.hasAnswered());
    HttpServer server(fixture.context.get_executor(), fixture.frontEnd, {});
    const Endpoint closed { "127.1.1.1", 7600 };
    addVm(fixture.fleet, "y", closed);
    addVm(fixture.fleet, "z", { "127.1.1.3", 7600 });
    addVm(fixture.fleet, "z", fixture.otherVm(1, 2));
    fixture.run([&]() -> Task<> {
        cr_assert_eq((co_await fixture.inquiry.readNewerOnce(3)).size(), 1);
        cr_assert(!fixture.inquiry.hasAnswered(), "no VM of another zone has answered");
        cr_assert(server.listen(closed).has_value());
        co_await fixture.inquiry.readNewerFromOthers(8);
        cr_assert(fixture.inquiry.hasAnswered());
    });
}

// A VM that runs across a restore must not stop following the store for seconds because another VM does not know it.
Test(ConfigurationInquiry, asksOnceAfterARestore)
{
    InquiryFixture fixture(false);
    addVm(fixture.fleet, "y", fixture.otherVm(1, 1));
    fixture.run([&]() -> Task<> {
        const auto startedAt = fixture.clock.now();
        cr_assert((co_await fixture.inquiry.readNewerOnce(3)).empty());
        cr_assert(fixture.clock.now() - startedAt < 2s);
        cr_assert(!fixture.inquiry.hasAnswered());
    });
}
