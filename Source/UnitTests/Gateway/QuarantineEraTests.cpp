#include "Gateway/EraStore.h"
#include "Gateway/GatewayFixture.h"
#include "Gateway/GatewayKeys.h"
#include "Gateway/QuarantineRecords.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

constexpr PartId deadly = 3;

/// The turn of one VM of the test's fleet.
class ScriptedTurns final : public TurnQueries {
public:
    bool isOwnTurn(std::uint64_t) const override { return isOwn; }

    bool isOwn = true;
};

/// A VM with its records in a store.
struct RecordingVm {
    RecordingVm(const Clock& clock, EraStore& s)
        : timeline(clock, "test")
        , store(s)
        , quarantine(clock, timeline, metrics, turns)
        , records(clock, s, quarantine, quarantine, turns)
    {
    }

    bool isQuarantined(PartId part) const { return quarantine.findQuarantined(std::array { part }).has_value(); }

    void crash(PartId part)
    {
        for (std::uint64_t n = 0; n < 3; ++n) {
            quarantine.recordCrash("runner", ++crashes, std::array { part });
        }
        cr_assert(isQuarantined(part));
    }

    /// One round of the writer, and what the watch brings.
    void runRound()
    {
        asio::io_context context;
        runTask(context, [](QuarantineRecords& r) -> Task<bool> {
            co_await r.writeDue();
            co_return true;
        }(records));
        receive();
    }

    void receive()
    {
        for (const auto& [key, entry] : store.content.entries) {
            records.updateRecord(key, entry.value, entry.modRevision);
        }
    }

    /// Reads all records, as the synchronisation does after a restore.
    void readAll()
    {
        receive();
        records.endRead(store.currentPosition());
    }

    std::optional<PartRecord> stored(PartId part) const
    {
        const auto entry = store.find(QuarantineRecords::keyOf(part));
        return entry.modRevision == 0 ? std::nullopt : QuarantineRecords::decode(entry.key, entry.value);
    }

    MetricTable metrics;
    Timeline timeline;
    ScriptedTurns turns;
    EraStore& store;
    PartQuarantine quarantine;
    QuarantineRecords records;
    std::uint64_t crashes = 0;
};

} // namespace

// Guards against parts that all VMs forget when they restart later, since the store lost their records and no VM writes
// them again. Many of them must not use up the store's write rate.
Test(QuarantineRecordsEra, writesLostRecordsAgain)
{
    EraStore store;
    ManualClock clock;
    RecordingVm vm(clock, store);
    vm.readAll();
    const auto copied = store.copy();
    for (PartId part = 10; part < 16; ++part) {
        vm.crash(part);
    }
    for (unsigned n = 0; n < 3; ++n) {
        vm.runRound();
    }
    cr_assert_eq(store.content.entries.size(), 6);
    store.restore(copied);
    vm.readAll();
    vm.turns.isOwn = false;
    vm.runRound();
    cr_assert(store.content.entries.empty(), "another VM has the turn");
    vm.turns.isOwn = true;
    vm.runRound();
    cr_assert_eq(store.content.entries.size(), QuarantineRecords::maxWrites);
    const auto before = store.writes;
    for (unsigned n = 0; n < 10; ++n) {
        vm.runRound();
    }
    cr_assert_eq(store.content.entries.size(), 6);
    cr_assert_eq(store.writes, before + 2);
    for (PartId part = 10; part < 16; ++part) {
        cr_assert(vm.isQuarantined(part));
    }
}

// Guards against a part that is refused again after its quarantine ended, because the copy has its older record. A VM
// that starts across the restore takes the copy's word until the record is corrected.
Test(QuarantineRecordsEra, doesNotQuarantineALiftedPartByTheCopy)
{
    for (const bool isLiftingStored : { true, false }) {
        EraStore store;
        ManualClock clock;
        RecordingVm vm(clock, store);
        vm.readAll();
        vm.crash(deadly);
        vm.runRound();
        const auto copied = store.copy();
        // Lifted because no request came, so no answer is known either.
        clock.advance(PartQuarantine::idleLimit + 1s);
        vm.quarantine.removeExpired();
        cr_assert(!vm.isQuarantined(deadly));
        if (isLiftingStored) {
            vm.runRound();
            cr_assert(vm.stored(deadly)->state == PartState::Lifted);
        }
        store.restore(copied);
        vm.readAll();
        cr_assert(!vm.isQuarantined(deadly));
        RecordingVm started(clock, store);
        started.readAll();
        cr_assert(started.isQuarantined(deadly));
        vm.runRound();
        cr_assert(vm.stored(deadly)->state == PartState::Lifted);
        started.receive();
        cr_assert(!started.isQuarantined(deadly));
    }
}

// Guards against a part that comes back into use because the copy has the record of an earlier quarantine that was
// lifted.
Test(QuarantineRecordsEra, doesNotLiftAQuarantineByTheCopy)
{
    EraStore store;
    ManualClock clock;
    RecordingVm vm(clock, store);
    vm.readAll();
    store.write(QuarantineRecords::keyOf(deadly), QuarantineRecords::encode({ deadly, PartState::Lifted, 3, 1 }));
    vm.receive();
    const auto copied = store.copy();
    vm.crash(deadly);
    vm.runRound();
    cr_assert(vm.stored(deadly)->state == PartState::Quarantined);
    store.restore(copied);
    vm.readAll();
    cr_assert(vm.isQuarantined(deadly));
    vm.runRound();
    cr_assert(vm.stored(deadly)->state == PartState::Quarantined);
}

// A lifting that comes after the restore holds as any other.
Test(QuarantineRecordsEra, takesOverRecordsAfterTheRestore)
{
    EraStore store;
    ManualClock clock;
    RecordingVm vm(clock, store);
    vm.readAll();
    vm.crash(deadly);
    vm.runRound();
    store.restore(store.copy());
    vm.readAll();
    cr_assert(vm.isQuarantined(deadly));
    store.write(QuarantineRecords::keyOf(deadly), QuarantineRecords::encode({ deadly, PartState::Lifted, 3, 1 }));
    vm.receive();
    cr_assert(!vm.isQuarantined(deadly));
    store.write(QuarantineRecords::keyOf(deadly), QuarantineRecords::encode({ deadly, PartState::Quarantined, 6, 0 }));
    vm.receive();
    cr_assert(vm.isQuarantined(deadly));
}
