#include "Router/ShareManager.h"

#include "Router/StoreKeys.h"
#include "Router/StoreRecords.h"

#include "Config/ConfigurationTable.h"
#include "Timeline/Timeline.h"

#include <criterion/criterion.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

using namespace Pollenwind;

namespace {

/// In-memory store of one record that can be down, return stale reads or lose a response.
class OneRecordStore final : public StoreCommands, public StoreQueries {
public:
    Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expected, std::string value, LeaseId) override
    {
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        if (entry.modRevision != expected) {
            co_return SwapResult { false, 0, entry };
        }
        previous = entry;
        entry = { key, value, entry.modRevision + 1 };
        if (std::exchange(losesAnswer, false)) {
            co_return fail(ErrorCode::StoreUnavailable, "response lost", RunState::Unknown);
        }
        co_return SwapResult { true, entry.modRevision };
    }
    Task<Outcome<StoreRange>> read(std::string) override
    {
        if (isDown) {
            co_return fail(ErrorCode::StoreUnavailable, "down");
        }
        const auto& seen = isStale ? previous : entry;
        StoreRange range { {}, seen.modRevision };
        if (seen.modRevision > 0) {
            range.entries.push_back(seen);
        }
        co_return range;
    }
    Task<Outcome<VmList>> listVms() override { co_return list; }

    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult(); }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override { co_return LeaseId(); }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId) override { co_return std::chrono::seconds(); }
    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void>(); }
    Task<Outcome<StoreRange>> readPrefix(std::string prefix) override { return read(std::move(prefix)); }
    Task<Outcome<WatchId>> openWatch(std::string, std::int64_t) override { co_return WatchId(); }
    Task<Outcome<StoreEvents>> nextEvents(WatchId) override { co_return StoreEvents(); }
    void closeWatch(WatchId) override { }

    StoreEntry entry;
    StoreEntry previous;
    VmList list;
    bool isDown = false;
    bool isStale = false;
    bool losesAnswer = false;
};

struct UsedSlots final : ShareCommands {
    void adoptShares(const ShareRecord&, const std::set<ShareSlotId>& used) override { slots = used; }
    void adoptNewRecord(const ShareRecord& record, const std::set<ShareSlotId>& used) override
    {
        ++newRecords;
        adoptShares(record, used);
    }
    std::set<ShareSlotId> slots;
    unsigned newRecords = 0;
};

struct ZoneConfiguration final : ConfigurationQueries {
    std::shared_ptr<const Configuration> current() const override
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->document.zones = { ZoneId("north") };
        return configuration;
    }
};

ListedVm listed(const std::string& name, std::uint16_t port)
{
    return { VmId(name), ZoneId("north"), { "127.51.0.1", port }, {}, ListedVmState::Live };
}

struct Fleet {
    /// One VM with its share manager.
    struct Vm {
        Vm(Fleet& fleet, const std::string& name, std::uint16_t port, std::uint64_t incarnation)
            : manager({ fleet.clock, fleet.store, fleet.store, fleet.configuration, used, fleet.timeline },
                  { VmId(name), ZoneId("north"), Incarnation(incarnation), { "127.51.0.1", port },
                      fleet.clock.wallNow() })
        {
        }
        UsedSlots used;
        ShareManager manager;
    };

    template <typename T> void run(Task<T> task)
    {
        asio::co_spawn(context, std::move(task), asio::detached);
        context.run();
        context.restart();
    }

    asio::io_context context;
    ManualClock clock;
    Timeline timeline { clock, "test" };
    ZoneConfiguration configuration;
    OneRecordStore store;
};

} // namespace

// Guards against slots that are claimed twice, or lost, when the response to a write is lost, and against losing slots
// in an outage.
Test(ShareManager, resolvesLostAnswersAndKeepsSlotsInOutages)
{
    Fleet fleet;
    Fleet::Vm vm(fleet, "vm1", 1, 11);
    fleet.store.losesAnswer = true;
    fleet.run(vm.manager.refresh());
    cr_expect(vm.used.slots.empty(), "an unconfirmed claim must not be used");
    fleet.run(vm.manager.refresh());
    cr_expect_eq(vm.used.slots.size(), 3U);
    cr_expect_eq(fleet.store.entry.modRevision, 1);
    fleet.store.isDown = true;
    fleet.run(vm.manager.refresh());
    cr_expect_eq(vm.used.slots.size(), 3U);
}

// Guards against a slot that two VMs use: the holder stops using it before it writes the release, and does not use it
// again after a lost response or a stale read.
Test(ShareManager, stopsUsingASlotBeforeItWritesTheRelease)
{
    Fleet fleet;
    fleet.store.list = { 1, { listed("vm1", 1) } };
    Fleet::Vm first(fleet, "vm1", 1, 11);
    Fleet::Vm second(fleet, "vm2", 2, 22);
    fleet.run(first.manager.refresh());
    cr_assert_eq(first.used.slots.size(), 3U);
    cr_expect_eq(first.used.newRecords, 1U);
    cr_expect_eq(second.used.newRecords, 0U);

    fleet.store.list = { 2, { listed("vm1", 1), listed("vm2", 2) } };
    fleet.store.losesAnswer = true;
    fleet.run(first.manager.refresh());
    cr_expect_eq(first.used.slots.size(), 2U);
    fleet.store.isStale = true;
    fleet.run(first.manager.refresh());
    cr_expect_eq(first.used.slots.size(), 2U);
    fleet.store.isStale = false;
    fleet.run(second.manager.refresh());
    fleet.run(first.manager.refresh());
    cr_expect_eq(first.used.slots.size(), 2U);
    cr_expect_eq(second.used.slots.size(), 1U);
    for (const auto& slot : second.used.slots) {
        cr_expect_not(first.used.slots.contains(slot));
    }
}

// Guards against slots that stay with a process that shut down, and against a restarted VM that does not get its slots
// back.
Test(ShareManager, releasesAtShutdownAndTakesOverAfterARestart)
{
    Fleet fleet;
    Fleet::Vm first(fleet, "vm1", 1, 11);
    fleet.run(first.manager.refresh());
    fleet.clock.advance(std::chrono::seconds(1));
    Fleet::Vm restarted(fleet, "vm1", 1, 12);
    fleet.run(restarted.manager.refresh());
    cr_expect_eq(restarted.used.slots.size(), 3U);
    fleet.run(first.manager.refresh());
    cr_expect(first.used.slots.empty());

    fleet.run(restarted.manager.release());
    cr_expect(restarted.used.slots.empty());
    cr_expect(decodeShareRecord(fleet.store.entry.value)->holders.empty());
}

// Guards against a record that does not survive encoding and decoding, and against malformed records that crash the
// process.
Test(StoreRecords, shareRecordRoundTrip)
{
    ShareRecord record;
    record.layout.zones = { ZoneId("north"), ZoneId("south") };
    record.holders[{ ZoneId("south"), 0, 2 }]
        = { VmId("vm1"), Incarnation(0xffff'ffff'ffff'fff0U), { "127.51.0.1", 7000 }, WallTime(123) };
    const auto decoded = decodeShareRecord(encodeShareRecord(record));
    cr_assert(decoded.has_value());
    cr_expect(*decoded == record);
    for (const char* text : { "", "[]", "{}", R"({"layout":{"number":1,"groups":"x","zones":[]},"slots":[]})",
             R"({"layout":{"number":1,"groups":1,"zones":[1]},"slots":[]})" }) {
        cr_expect_not(decodeShareRecord(text).has_value());
    }
}
