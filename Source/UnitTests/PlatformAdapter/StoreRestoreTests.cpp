#include "PlatformAdapter/PlatformFixture.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Writes a configuration with another key and waits until the gateway follows it.
Task<> configure(PlatformFixture& fixture, int version, std::string key)
{
    fixture.store.put("op/config", PlatformFixture::configuration(version, "\"" + key + "\""));
    co_await fixture.waitUntil(
        [&]() -> Task<bool> { co_return (co_await fixture.call("/safe/x", key)).status == 200; });
}

void writeEntries(PlatformFixture& fixture, unsigned count)
{
    for (unsigned n = 0; n < count; ++n) {
        fixture.store.put("servers/i-2", fixture.second.entry("app"));
    }
}

} // namespace

// Guards against taking the records of a restored store for old ones: all requests were refused until the revisions had
// overtaken, and to the end of the run if the store got few writes.
Test(StoreRestore, servesWhileTheRestoredStoreIsBehind)
{
    PlatformFixture fixture;
    fixture.settings.maxKeyWithdrawalDelay = 5s;
    fixture.run([&](Gateway&) -> Task<> {
        fixture.store.copy();
        writeEntries(fixture, 50);
        co_await configure(fixture, 2, "k2");
        fixture.store.restore();
        // Without a read of the restored store, keys are refused by then.
        co_await sleepFor(fixture.settings.maxKeyWithdrawalDelay);
        cr_assert_eq((co_await fixture.call("/safe/x", "k2")).status, 200);
        cr_assert_eq((co_await fixture.call("/safe/x", "k1")).status, 401, "the configuration of the copy is in force");
        co_await configure(fixture, 3, "k3");
    });
}

// Guards against a watch that goes on from a revision which was given out again, and misses the changes before it.
Test(StoreRestore, followsChangesThatTookTheRevisionsOfLostOnes)
{
    PlatformFixture fixture;
    fixture.run([&](Gateway&) -> Task<> {
        fixture.store.copy();
        writeEntries(fixture, 5);
        co_await configure(fixture, 2, "k2");
        fixture.store.restore();
        fixture.store.put("op/config", PlatformFixture::configuration(3, "\"k3\""));
        writeEntries(fixture, 50);
        co_await fixture.waitUntil(
            [&]() -> Task<bool> { co_return (co_await fixture.call("/safe/x", "k3")).status == 200; });
    });
}

namespace {

/// A second VM of the fleet, in another zone.
struct OtherVm {
    explicit OtherVm(PlatformFixture& other)
        : settings(other.settings)
        , client(other.context.get_executor(), other.storeEndpoint, KvStoreTimeouts { .watchWait = 200ms }, metrics)
        , gateway(
              other.context.get_executor(), otherSettings(), { client, client, records, requests, control }, metrics)
    {
    }

    Task<int> statusOf(std::string key)
    {
        HttpRequest request { "POST", "/safe/x", "",
            { { "Host", "h" }, { "X-Request-Id", "other" + std::to_string(++calls) },
                { "Authorization", "Token " + key }, { "X-Deadline-Ms", "3000" } },
            "body" };
        const auto answer = co_await fetch(settings.listenCallers, std::move(request), callTimeout);
        co_return answer ? answer->status : 0;
    }

    GatewaySettings settings;
    MetricTable metrics;
    KvStoreClient client;
    PlatformRecords records;
    PlatformRequests requests;
    RunnerControl control;
    Gateway gateway;
    unsigned calls = 0;

private:
    GatewaySettings otherSettings()
    {
        settings.vm = VmId("vm-2");
        settings.zone = ZoneId("b");
        std::uint16_t port = firstGatewayPort + 10;
        for (auto* endpoint :
            { &settings.listenCallers, &settings.listenReady, &settings.listenMetrics, &settings.listenReports }) {
            *endpoint = { "127.63" + endpoint->address.substr(endpoint->address.find('.', 4)), port++ };
        }
        return settings;
    }
};

constexpr int statusUnavailable = 503;

} // namespace

// Guards against a VM that starts while the store is away and takes the configuration of its copy for the newest: it
// served requests with a key that had been withdrawn, until the operator wrote the configuration again.
Test(StoreRestore, doesNotAcceptAWithdrawnKeyAtAVmThatStartsBesideARestore)
{
    PlatformFixture fixture;
    OtherVm other(fixture);
    fixture.run([&](Gateway&) -> Task<> {
        co_await fixture.waitUntil(
            [&]() -> Task<bool> { co_return fixture.store.value("pollenwind/vms/vm").has_value(); });
        fixture.store.copy();
        co_await configure(fixture, 2, "k2");
        fixture.store.forcedStatus = statusUnavailable;
        cr_assert(other.gateway.start().has_value());
        cr_assert_eq(co_await other.statusOf("k1"), statusUnavailable);
        fixture.store.restore();
        fixture.store.forcedStatus = 0;
        co_await fixture.waitUntil([&]() -> Task<bool> {
            const auto status = co_await other.statusOf("k1");
            cr_assert_neq(status, 200, "a withdrawn key is accepted");
            co_return status != statusUnavailable;
        });
        cr_assert_eq(co_await other.statusOf("k2"), 200);
        // What the operator writes then goes before what another VM knew, although it has a lower revision.
        fixture.store.put("op/config", PlatformFixture::configuration(3, "\"k3\""));
        co_await fixture.waitUntil([&]() -> Task<bool> { co_return co_await other.statusOf("k3") == 200; });
        cr_assert_eq(co_await other.statusOf("k2"), 401);
    });
}

namespace {

/// Runs a scenario with a store client and no gateway.
template <typename Scenario> void runWithClient(PlatformFixture& fixture, Scenario scenario)
{
    asio::co_spawn(
        fixture.context,
        [&]() -> Task<> {
            co_await scenario(*fixture.client);
            fixture.context.stop();
        },
        [](const std::exception_ptr& error) { cr_assert(!error); });
    fixture.context.run();
}

} // namespace

// Guards against a condition that names a revision of an earlier era: after the restore it may be that of another
// value.
Test(StoreRestore, doesNotReplaceAValueByARevisionOfAnEarlierEra)
{
    PlatformFixture fixture;
    runWithClient(fixture, [&](KvStoreClient& client) -> Task<> {
        fixture.store.copy();
        const auto written = co_await client.compareAndSwap("k", 0, "of this VM", {});
        cr_assert(written && written->isSwapped);
        fixture.store.restore();
        fixture.store.put("k", "of another VM");
        // The first call shows the new era with its response, the second one knows it.
        for (int n = 0; n < 2; ++n) {
            const auto replaced = co_await client.compareAndSwap("k", written->revision, "late", {});
            cr_assert(!replaced && replaced.error().code == ErrorCode::Conflict);
            fixture.store.put("k", "of another VM");
        }
    });
}

// Guards against renewing or ending the lease of another VM, which got the same lease id after the restore.
Test(StoreRestore, doesNotRenewALeaseOfAnEarlierEra)
{
    PlatformFixture fixture;
    runWithClient(fixture, [&](KvStoreClient& client) -> Task<> {
        fixture.store.copy();
        const auto lease = co_await client.grantLease(10s);
        cr_assert(lease.has_value());
        fixture.store.restore();
        KvStoreClient other(fixture.context.get_executor(), fixture.storeEndpoint, KvStoreTimeouts {}, fixture.metrics);
        const auto otherLease = co_await other.grantLease(10s);
        cr_assert(otherLease && (co_await other.compareAndSwap("k", 0, "of another VM", *otherLease))->isSwapped);
        for (int n = 0; n < 2; ++n) {
            const auto renewed = co_await client.keepAlive(*lease);
            cr_assert(!renewed && renewed.error().code == ErrorCode::NotFound);
        }
        cr_assert((co_await client.revoke(*lease)).has_value());
        cr_assert_eq(fixture.store.value("k").value_or(""), "of another VM");
    });
}

// Guards against positions that fall when the store comes back from an older copy: fencing tokens and versions of
// records are compared by them.
Test(StoreRestore, positionsRiseAcrossEras)
{
    PlatformFixture fixture;
    runWithClient(fixture, [&](KvStoreClient& client) -> Task<> {
        fixture.store.copy();
        const auto before = co_await client.compareAndSwap("k", 0, "v", {});
        for (int n = 0; n < 20; ++n) {
            fixture.store.put("other", "v");
        }
        const auto range = co_await client.readPrefix("");
        fixture.store.restore();
        const auto after = co_await client.compareAndSwap("k", 0, "v", {});
        cr_assert(before && after && after->isSwapped);
        cr_assert_gt(after->revision, before->revision);
        cr_assert_gt(after->revision, range->revision);
        cr_assert_eq((co_await client.read("k"))->entries.front().modRevision, after->revision);
    });
}
