#include "Gateway/FleetReportCodec.h"
#include "Gateway/QuarantineRecords.h"
#include "Gateway/QuarantineVm.h"

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// A part that many requests share, a rare one, and the one that crashes runners.
constexpr PartId common = 1;
constexpr PartId rare = 2;
constexpr PartId deadly = 3;

const Error lost { ErrorCode::ConnectionLost, "reset", RunState::Unknown };

/// VMs that exchange reports in virtual time.
struct QuarantineFleet {
    explicit QuarantineFleet(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            vms.push_back(std::make_unique<QuarantineVm>(clock));
        }
        vms.front()->turns.isOwn = true;
    }

    void exchange()
    {
        for (auto& sender : vms) {
            const auto report = sender->quarantine.takeReport();
            for (auto& receiver : vms) {
                if (receiver != sender) {
                    receiver->quarantine.mergeReport(report, true);
                }
            }
        }
    }

    /// A request with the parts is lost in a crash of another runner.
    void crash(std::size_t vm, std::vector<PartId> parts)
    {
        vms[vm]->quarantine.recordCrash("runner", ++crashes, parts);
        clock.advance(10ms);
        exchange();
        clock.advance(1s);
    }

    void answer(std::size_t vm, std::vector<PartId> parts)
    {
        vms[vm]->quarantine.recordAnswer(parts);
        clock.advance(10ms);
        exchange();
    }

    std::size_t quarantinedAt(PartId part) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(vms, [part](const auto& vm) { return vm->isQuarantined(part); }));
    }

    ManualClock clock;
    std::vector<std::unique_ptr<QuarantineVm>> vms;
    std::uint64_t crashes = 0;
};

/// Store in memory.
class RecordStore final : public StoreCommands {
public:
    Task<Outcome<SwapResult>> compareAndSwap(
        std::string key, std::int64_t expected, std::string value, LeaseId) override
    {
        ++writes;
        auto& entry = entries[key];
        if (entry.modRevision != expected) {
            co_return SwapResult { false, 0, entry };
        }
        entry = { key, std::move(value), ++revision, {} };
        co_return SwapResult { true, revision, std::nullopt };
    }
    Task<Outcome<SwapResult>> compareAndErase(std::string, std::int64_t) override { co_return SwapResult(); }
    Task<Outcome<LeaseId>> grantLease(std::chrono::seconds) override { co_return LeaseId(1); }
    Task<Outcome<std::chrono::seconds>> keepAlive(LeaseId) override { co_return 1s; }
    Task<Outcome<void>> revoke(LeaseId) override { co_return Outcome<void> {}; }

    std::map<std::string, StoreEntry> entries;
    std::int64_t revision = 100;
    unsigned writes = 0;
};

/// A VM with its records in a store.
struct RecordingVm : QuarantineVm {
    RecordingVm(const Clock& clock, RecordStore& s)
        : QuarantineVm(clock)
        , store(s)
        , records(clock, s, quarantine, quarantine, turns)
    {
        turns.isOwn = true;
    }

    /// One round of the writer, and what the watch brings.
    void runRound()
    {
        asio::io_context context;
        runTask(context, [](QuarantineRecords& r) -> Task<bool> {
            co_await r.writeDue();
            co_return true;
        }(records));
        readAll();
    }
    void readAll()
    {
        for (const auto& [key, entry] : store.entries) {
            records.updateRecord(key, entry.value, entry.modRevision);
        }
    }

    RecordStore& store;
    QuarantineRecords records;
};

ForwardRequest makePrompt(GatewayFixture& fixture, const std::string& path, const std::vector<PartId>& parts)
{
    auto request = fixture.makeRequest(path);
    request.model = "model";
    for (const auto part : parts) {
        request.parts.push_back({ part, 100 });
    }
    // The last part belongs to the request alone.
    request.parts.push_back({ 1000 + fixture.requests, 10 });
    return request;
}

/// The runners are back after a crash.
void restartRunners(GatewayFixture& fixture)
{
    for (const auto& runner : fixture.runners.entries()) {
        auto entry = runner;
        entry.incarnation = Incarnation(runner.incarnation.value() + 1);
        fixture.runners.updateEntry(entry);
    }
    fixture.clock.advance(1s);
}

ScriptedAttempt begunStream() { return { .isEventStream = true, .parts = { "id: 1\ndata: a\n\n" } }; }

/// The head of a stream, and the connection lost before the first event.
ScriptedAttempt crashedStream() { return { .isEventStream = true, .endError = lost }; }

/// Events of a stream, and then the connection lost.
ScriptedAttempt streamCrashedAfter(unsigned events, std::chrono::milliseconds interval)
{
    ScriptedAttempt attempt { .isEventStream = true, .partInterval = interval, .endError = lost };
    for (unsigned n = 1; n <= events; ++n) {
        attempt.parts.push_back("id: " + std::to_string(n) + "\ndata: a\n\n");
    }
    return attempt;
}

bool isQuarantined(const GatewayFixture& fixture, PartId part)
{
    return fixture.quarantine.findQuarantined(std::array { part }).has_value();
}

} // namespace

// Each VM sees only a few of the crashes. The part must be named from those of the whole fleet, and the parts that
// sound requests share with it must not be.
Test(PartQuarantine, namesThePartFromTheCrashesOfTheFleet)
{
    QuarantineFleet fleet(9);
    fleet.answer(8, { common, rare });
    for (const std::size_t vm : { 0, 3, 5 }) {
        cr_assert_eq(fleet.quarantinedAt(deadly), 0);
        fleet.crash(vm, { common, rare, deadly });
    }
    cr_assert_eq(fleet.quarantinedAt(deadly), 9);
    cr_assert_eq(fleet.quarantinedAt(common) + fleet.quarantinedAt(rare), 0);
    for (unsigned n = 0; n < 4; ++n) {
        fleet.exchange();
    }
    for (const auto& vm : fleet.vms) {
        cr_assert_eq(vm->quarantine.quarantinedParts().front().crashes, 3, "evidence that is sent again counts once");
    }
}

// A crash hits sound requests too. Their parts must not be named when they are answered in between, although
// they were lost in as many crashes.
Test(PartQuarantine, clearsAPartThatWasAnswered)
{
    QuarantineFleet fleet(3);
    fleet.crash(0, { common });
    fleet.crash(1, { common });
    fleet.answer(2, { common });
    fleet.crash(0, { common });
    fleet.crash(1, { common });
    cr_assert_eq(fleet.quarantinedAt(common), 0);
}

// When a zone is cut off or a rack fails, many runners end at once. The parts that are common among the requests there
// must not be refused.
Test(PartQuarantine, doesNotNameACommonPartWhenManyRunnersEndAtOnce)
{
    QuarantineFleet fleet(3);
    fleet.answer(2, { common });
    for (std::uint64_t crash = 1; crash <= 6; ++crash) {
        fleet.vms[crash % 3]->quarantine.recordCrash("runner", crash, std::array { common, PartId(100 + crash) });
        fleet.clock.advance(100ms);
        fleet.exchange();
    }
    cr_assert_eq(fleet.quarantinedAt(common), 0);
}

// A part that becomes deadly after it was answered must be named too.
Test(PartQuarantine, namesAPartThatWasAnsweredBefore)
{
    QuarantineFleet fleet(3);
    fleet.answer(2, { deadly });
    for (const std::size_t vm : { 0, 1, 2 }) {
        fleet.crash(vm, { deadly });
    }
    cr_assert_eq(fleet.quarantinedAt(deadly), 3);
}

// Several requests that are lost in one crash, at one VM or at several, are evidence of one crash only.
Test(PartQuarantine, countsEachCrashOnce)
{
    QuarantineFleet fleet(3);
    for (auto& vm : fleet.vms) {
        for (std::uint64_t crash : { 1, 2 }) {
            vm->quarantine.recordCrash("runner", crash, std::array { deadly });
            vm->quarantine.recordCrash("runner", crash, std::array { deadly });
        }
    }
    fleet.exchange();
    cr_assert_eq(fleet.quarantinedAt(deadly), 0);
}

// Of parts that always came together, the sound one must be cleared by the first request that has only this one, and
// the other one must not be tried at once.
Test(PartQuarantine, tellsPartsThatAlwaysCameTogetherApart)
{
    QuarantineFleet fleet(3);
    for (const std::size_t vm : { 0, 1, 2 }) {
        fleet.crash(vm, { rare, deadly });
    }
    cr_assert_eq(fleet.quarantinedAt(rare) + fleet.quarantinedAt(deadly), 6);
    auto& vm = fleet.vms.front()->quarantine;
    cr_assert(!vm.startTrial(std::array { rare, deadly }), "a request with both would not tell them apart");
    cr_assert(vm.startTrial(std::array { rare }));
    fleet.answer(0, { rare });
    cr_assert_eq(fleet.quarantinedAt(rare), 0);
    cr_assert_eq(fleet.quarantinedAt(deadly), 3);
    cr_assert(!vm.startTrial(std::array { deadly }));
}

// Each trial may crash a runner. However many requests with the part come, few may be let through, by one VM of the
// fleet.
Test(PartQuarantine, triesAQuarantinedPartRarely)
{
    QuarantineFleet fleet(9);
    fleet.answer(8, { common });
    for (const std::size_t vm : { 0, 1, 2 }) {
        fleet.crash(vm, { common, deadly });
    }
    std::vector<std::chrono::nanoseconds> trials;
    const auto start = fleet.clock.now();
    while (fleet.clock.now() - start < 10min) {
        for (std::size_t n = 0; n < fleet.vms.size(); ++n) {
            if (fleet.vms[n]->quarantine.startTrial(std::array { common, deadly })) {
                trials.push_back(fleet.clock.now() - start);
                cr_assert_eq(n, 0);
                fleet.vms[n]->quarantine.recordCrash("runner", ++fleet.crashes, std::array { common, deadly });
            } else {
                fleet.vms[n]->quarantine.recordRefusal(deadly);
            }
        }
        fleet.clock.advance(250ms);
        fleet.exchange();
    }
    cr_assert_eq(trials.size(), 3);
    cr_assert(trials[0] > 15s && trials[1] - trials[0] >= 60s && trials[2] - trials[1] >= 180s);
    cr_assert_eq(fleet.quarantinedAt(deadly), 9);
}

// A part that was named by mistake, or whose fault is gone, must be served again by all VMs once a trial has begun an
// answer.
Test(PartQuarantine, endsEverywhereWhenATrialIsAnswered)
{
    QuarantineFleet fleet(3);
    fleet.answer(2, { common });
    for (const std::size_t vm : { 0, 1, 2 }) {
        fleet.crash(vm, { common, deadly });
    }
    fleet.clock.advance(PartQuarantine::firstTrialInterval);
    cr_assert(fleet.vms.front()->quarantine.startTrial(std::array { common, deadly }));
    fleet.answer(0, { common, deadly });
    cr_assert_eq(fleet.quarantinedAt(deadly), 0);
    // The regular lists of the others must not bring it back.
    for (unsigned n = 0; n < 60; ++n) {
        fleet.clock.advance(250ms);
        fleet.exchange();
    }
    cr_assert_eq(fleet.quarantinedAt(deadly), 0);
}

// A quarantine must not last for ever when no request tests it any more.
Test(PartQuarantine, endsWhenNoRequestComes)
{
    QuarantineFleet fleet(2);
    for (const std::size_t vm : { 0, 1, 0 }) {
        fleet.crash(vm, { deadly });
    }
    fleet.clock.advance(PartQuarantine::idleLimit + 1s);
    for (auto& vm : fleet.vms) {
        vm->quarantine.removeExpired();
    }
    fleet.exchange();
    cr_assert_eq(fleet.quarantinedAt(deadly), 0);
}

// A VM that starts later must refuse the part without crashes of its own.
Test(PartQuarantine, isKnownToAVmThatStartsLater)
{
    QuarantineFleet fleet(3);
    for (const std::size_t vm : { 0, 1, 2 }) {
        fleet.crash(vm, { deadly });
    }
    fleet.vms.back() = std::make_unique<QuarantineVm>(fleet.clock);
    for (unsigned n = 0; n < 20; ++n) {
        fleet.clock.advance(250ms);
        fleet.exchange();
    }
    cr_assert(fleet.vms.back()->isQuarantined(deadly));
}

// Prompts of all organisations must not grow the state or the reports without bound.
Test(PartQuarantine, staysWithinItsBounds)
{
    QuarantineFleet fleet(2);
    auto& vm = fleet.vms.front()->quarantine;
    FleetReport report;
    std::size_t longest = 0;
    for (std::uint64_t n = 1; n <= 100'000; ++n) {
        vm.recordAnswer(std::array { n * 3 });
        if (n % 10 == 0) {
            vm.recordCrash("runner", n, std::array { n * 3 + 1, n * 3 + 2 });
            vm.recordCrash("runner", n, std::array { n % 700 * 3 + 1 });
            report.quarantine = vm.takeReport();
            longest = std::max(longest, FleetReportCodec::encode(report).size());
            fleet.vms.back()->quarantine.mergeReport(report.quarantine, true);
        }
        fleet.clock.advance(1ms);
    }
    constexpr auto limit = PartQuarantine::maxSuspects + PartQuarantine::maxQuarantined
        + 2 * PartQuarantine::maxAnswered + PartQuarantine::maxExplained
        + 3 * QuarantineNews<CrashEvidence>::maxPending;
    for (const auto& it : fleet.vms) {
        cr_assert_leq(it->quarantine.size(), limit);
    }
    cr_assert_leq(longest, std::size_t(3) * 40 * PartQuarantine::maxReported);
}

// A cut link, a runner in trouble and a reset connection lose requests too. Only a crash may count against their parts.
Test(CrashDetector, countsOnlyLossesAtRunnersThatEnded)
{
    GatewayFixture fixture;
    const auto runner = makeRunner("r1");
    const auto lose = [&] {
        fixture.crashes.recordLoss(runner.id, runner.incarnation, runner.endpoint, std::array { deadly });
        fixture.context.restart();
        fixture.context.run();
        fixture.crashes.checkReplaced();
    };
    for (unsigned n = 0; n < 20; ++n) {
        lose();
        fixture.clock.advance(100ms);
    }
    cr_assert(!fixture.quarantine.isSuspected(std::array { deadly }));
    cr_assert_leq(fixture.probe.probes, 4, "a runner in trouble gets few further connections");
    auto entry = runner;
    entry.state = RunnerState::Draining;
    fixture.runners.updateEntry(entry);
    fixture.probe.refuses = true;
    fixture.clock.advance(10s);
    fixture.crashes.checkReplaced();
    lose();
    cr_assert(!fixture.quarantine.isSuspected(std::array { deadly }), "a runner that was draining has not crashed");
}

// A runner that is back before a connection is tried has crashed if it has another incarnation.
Test(CrashDetector, noticesARunnerThatIsBackAtOnce)
{
    GatewayFixture fixture;
    auto runner = makeRunner("r1");
    fixture.crashes.recordLoss(runner.id, runner.incarnation, runner.endpoint, std::array { deadly });
    fixture.context.run();
    runner.incarnation = Incarnation(2);
    fixture.runners.updateEntry(runner);
    fixture.crashes.checkReplaced();
    cr_assert(fixture.quarantine.isSuspected(std::array { deadly }));
}

// Requests with a part that crashes runners came one after the other, and each crashed another runner. After three
// crashes they must be refused, truly as not run, and sound requests with the same caller and first part must go on.
Test(ForwardDispatcher, stopsSendingRequestsWithAPartThatCrashesRunners)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    fixture.scripted.script = { begunStream() };
    cr_assert(fixture.forward(makePrompt(fixture, "/stream/x", { common, rare })).has_value());
    for (unsigned n = 0; n < 3; ++n) {
        fixture.scripted.script = { crashedStream() };
        const auto result = fixture.forward(makePrompt(fixture, "/stream/x", { common, rare, deadly }));
        cr_assert(!result && result.error().runState == RunState::Unknown);
        restartRunners(fixture);
    }
    fixture.scripted.arrivals.clear();
    for (unsigned n = 0; n < 50; ++n) {
        const auto result = fixture.forward(makePrompt(fixture, "/stream/x", { common, rare, deadly }));
        cr_assert(!result && result.error().runState == RunState::NotRun);
        cr_assert_eq(result.error().code, ErrorCode::Unavailable);
        cr_assert(!result.error().retryAfter, "the caller has no reason to come back");
        fixture.clock.advance(100ms);
    }
    cr_assert_eq(fixture.scripted.arrivals.size(), 0);
    fixture.scripted.script = { begunStream() };
    cr_assert(fixture.forward(makePrompt(fixture, "/stream/x", { common, rare })).has_value());
}

// Guards against a part that crashes runners after they have written the first event of their answer: it was cleared by
// that event and never quarantined (review case 8).
Test(ForwardDispatcher, stopsSendingRequestsWithAPartThatCrashesRunnersAfterTheFirstEvent)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    for (unsigned n = 0; n < 3; ++n) {
        fixture.scripted.script = { begunStream() };
        cr_assert(fixture.forward(makePrompt(fixture, "/stream/x", { common, rare })).has_value());
        fixture.scripted.script = { streamCrashedAfter(1, 0ms) };
        const auto result = fixture.forward(makePrompt(fixture, "/stream/x", { common, rare, deadly }));
        cr_assert(!result && result.error().runState == RunState::Unknown);
        restartRunners(fixture);
    }
    fixture.scripted.arrivals.clear();
    const auto refused = fixture.forward(makePrompt(fixture, "/stream/x", { common, rare, deadly }));
    cr_assert(!refused && refused.error().runState == RunState::NotRun);
    cr_assert_eq(fixture.scripted.arrivals.size(), 0);
    fixture.scripted.script = { begunStream() };
    cr_assert(fixture.forward(makePrompt(fixture, "/stream/x", { common, rare })).has_value());
}

// A stream that may be resumed must not carry such a part from runner to runner, and a later one is not resumed at all.
Test(ForwardDispatcher, doesNotResumeAStreamWithASuspectedPart)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    fixture.scripted.script = { streamCrashedAfter(1, 0ms), streamCrashedAfter(2, 0ms) };
    cr_assert(!fixture.forward(makePrompt(fixture, "/resumable/x", { common, deadly })));
    cr_assert_eq(fixture.scripted.arrivals.size(), 2, "the first crash may have hit a sound request");
    restartRunners(fixture);
    fixture.scripted.script = { streamCrashedAfter(1, 0ms) };
    cr_assert(!fixture.forward(makePrompt(fixture, "/resumable/x", { common, deadly })));
    cr_assert_eq(fixture.scripted.arrivals.size(), 3);
}

// The trial of a quarantined part must not end its quarantine by a first event.
Test(ForwardDispatcher, keepsAPartQuarantinedWhoseTrialCrashesItsRunner)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    for (unsigned n = 0; n < 3; ++n) {
        fixture.scripted.script = { crashedStream() };
        cr_assert(!fixture.forward(makePrompt(fixture, "/stream/x", { deadly })));
        restartRunners(fixture);
    }
    fixture.clock.advance(PartQuarantine::firstTrialInterval);
    fixture.scripted.arrivals.clear();
    fixture.scripted.script = { streamCrashedAfter(1, 0ms) };
    cr_assert(!fixture.forward(makePrompt(fixture, "/stream/x", { deadly })));
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
    cr_assert(isQuarantined(fixture, deadly));
}

// Long streams are lost in crashes that they do not cause. One that has gone on for some time must neither count
// against its parts nor lose its right to be resumed.
Test(ForwardDispatcher, doesNotSuspectThePartsOfAStreamThatWentOn)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    for (unsigned n = 0; n < 6; ++n) {
        fixture.scripted.script = { streamCrashedAfter(4, 250ms), begunStream() };
        fixture.scripted.script.back().parts = { "id: 5\ndata: a\n\n" };
        cr_assert(fixture.forward(makePrompt(fixture, "/resumable/x", { rare })).has_value());
        cr_assert(fixture.scripted.script.empty(), "the stream was not resumed");
        restartRunners(fixture);
        fixture.scripted.script = { streamCrashedAfter(4, 250ms) };
        cr_assert(!fixture.forward(makePrompt(fixture, "/stream/x", { rare, PartId(50) })));
        restartRunners(fixture);
    }
    cr_assert(!isQuarantined(fixture, rare));
    cr_assert(!isQuarantined(fixture, PartId(50)));
}

// Events that wait while the caller reads slowly do not show that the runner went on.
Test(ForwardDispatcher, doesNotTakeASlowCallerForAStreamThatWentOn)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    fixture.sink.onWrite = [&fixture] { fixture.clock.advance(1s); };
    for (unsigned n = 0; n < 3; ++n) {
        fixture.scripted.script = { streamCrashedAfter(3, 0ms) };
        cr_assert(!fixture.forward(makePrompt(fixture, "/stream/x", { common, deadly })));
        restartRunners(fixture);
    }
    cr_assert(isQuarantined(fixture, deadly));
}

// A request that cannot be sent must not use up the trial of a quarantined part: a sound part that was named by mistake
// stayed refused for another minute.
Test(ForwardDispatcher, keepsTheTrialOfAPartForARequestThatIsSent)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    fixture.scripted.script = { begunStream() };
    cr_assert(fixture.forward(makePrompt(fixture, "/stream/x", { common, rare })).has_value());
    for (unsigned n = 0; n < 3; ++n) {
        fixture.scripted.script = { crashedStream() };
        cr_assert(!fixture.forward(makePrompt(fixture, "/stream/x", { common, deadly })));
        restartRunners(fixture);
    }
    fixture.runners.replaceEntries({});
    fixture.clock.advance(PartQuarantine::firstTrialInterval);
    const auto refused = fixture.forward(makePrompt(fixture, "/stream/x", { common, deadly }));
    cr_assert(!refused && refused.error().message.find("no runner") != std::string::npos);
    auto entry = makeRunner("r1");
    entry.incarnation = Incarnation(99);
    fixture.runners.updateEntry(entry);
    fixture.scripted.arrivals.clear();
    fixture.scripted.script = { begunStream() };
    cr_assert(fixture.forward(makePrompt(fixture, "/stream/x", { common, deadly })).has_value());
    cr_assert_eq(fixture.scripted.arrivals.size(), 1);
}

// Without a crash, lost connections must not stop the requests of a route.
Test(ForwardDispatcher, sendsRequestsOnAfterLossesWithoutACrash)
{
    GatewayFixture fixture;
    for (unsigned n = 0; n < 10; ++n) {
        fixture.scripted.script = { crashedStream() };
        cr_assert(!fixture.forward(makePrompt(fixture, "/stream/x", { common, rare })));
        fixture.clock.advance(10s);
    }
    cr_assert_eq(fixture.scripted.arrivals.size(), 10);
}

// A request without a prompt cannot crash runners by a part of it. It was not sent a third time after two resets.
Test(ForwardDispatcher, repeatsARequestWithoutAPromptAfterTwoLosses)
{
    GatewayFixture fixture;
    auto configuration = *fixture.routing.current();
    configuration.version = 2;
    configuration.routes.push_back(makeRoute("/often/", RequestKind::Safe, 3));
    fixture.routing.adopt(configuration);
    const Error reset { ErrorCode::ConnectionLost, "reset", RunState::Unknown };
    fixture.scripted.script = { { .beginError = reset }, { .beginError = reset }, { .parts = { "body" } } };
    cr_assert(fixture.forward(fixture.makeRequest("/often/x")).has_value());
    cr_assert_eq(fixture.sink.body, "body");
}

// A request whose part has been lost in an earlier crash must not be repeated, since it may crash the next runner. Its
// caller must not be told that it has not run.
Test(ForwardDispatcher, doesNotRepeatARequestWithASuspectedPart)
{
    GatewayFixture fixture;
    fixture.probe.refuses = true;
    fixture.scripted.script = { crashedStream(), crashedStream() };
    cr_assert(!fixture.forward(makePrompt(fixture, "/resumable/x", { common, deadly })));
    cr_assert_eq(fixture.scripted.arrivals.size(), 2, "the first crash may have hit a sound request");
    restartRunners(fixture);
    fixture.scripted.script = { crashedStream() };
    const auto result = fixture.forward(makePrompt(fixture, "/resumable/x", { common, deadly }));
    cr_assert(!result && result.error().runState == RunState::Unknown);
    cr_assert_eq(fixture.scripted.arrivals.size(), 3);
}

// When all VMs restart together, no report tells of the quarantined parts, so the store must have them. It must get
// few writes.
Test(QuarantineRecords, outliveARestartOfAllVms)
{
    RecordStore store;
    ManualClock clock;
    {
        RecordingVm vm(clock, store);
        for (std::uint64_t crash : { 1, 2, 3 }) {
            vm.quarantine.recordCrash("runner", crash, std::array { deadly });
        }
        for (unsigned n = 0; n < 100; ++n) {
            vm.runRound();
            clock.advance(200ms);
        }
        cr_assert_eq(store.writes, 1);
        cr_assert(vm.quarantine.startTrial(std::array { deadly }));
        vm.runRound();
        vm.runRound();
        cr_assert_eq(store.writes, 2);
    }
    RecordingVm vm(clock, store);
    vm.readAll();
    cr_assert(vm.isQuarantined(deadly));
    clock.advance(PartQuarantine::firstTrialInterval);
    cr_assert(!vm.quarantine.startTrial(std::array { deadly }), "the trial before the restart counts");
    vm.quarantine.recordAnswer(std::array { deadly });
    vm.runRound();
    RecordingVm other(clock, store);
    other.readAll();
    cr_assert(!other.isQuarantined(deadly), "the lifted record names no part");
}

// A record that is still in use must be renewed before its lease ends.
Test(QuarantineRecords, renewsTheRecordOfAPartInUse)
{
    RecordStore store;
    ManualClock clock;
    RecordingVm vm(clock, store);
    for (std::uint64_t crash : { 1, 2, 3 }) {
        vm.quarantine.recordCrash("runner", crash, std::array { deadly });
    }
    vm.runRound();
    vm.turns.isOwn = false;
    clock.advance(QuarantineRecords::recordTimeToLive / 2 + 1s);
    vm.quarantine.recordRefusal(deadly);
    vm.runRound();
    cr_assert_eq(store.writes, 1, "another VM has the turn");
    vm.turns.isOwn = true;
    vm.runRound();
    vm.runRound();
    cr_assert_eq(store.writes, 2);
}

// A record that cannot be read must be ignored.
Test(QuarantineRecords, readsItsOwnRecordsOnly)
{
    const PartRecord record { 0xabc, PartState::Lifted, 4, 2 };
    const auto key = QuarantineRecords::keyOf(record.part);
    cr_assert(QuarantineRecords::decode(key, QuarantineRecords::encode(record)) == record);
    for (const auto* text : { "", "4", "4 2", "4 2 unknown", "x 2 lifted" }) {
        cr_assert(!QuarantineRecords::decode(key, text));
    }
    cr_assert(!QuarantineRecords::decode(key + "z", QuarantineRecords::encode(record)));
}

// VMs must agree on the one that tests a part or writes its record.
Test(FleetView, givesOneVmTheTurn)
{
    ManualClock clock;
    Timeline timeline(clock, "test");
    const std::vector<std::string> names { "a", "b", "c", "d", "e" };
    std::vector<std::unique_ptr<FleetView>> views;
    for (const auto& own : names) {
        auto& view = views.emplace_back(std::make_unique<FleetView>(clock, timeline, VmId(own), ZoneId("z")));
        for (const auto& other : names) {
            view->updateRecord(VmId(other), FleetView::encodeRecord({ "127.0.0.1", 7600 }, ZoneId("z")));
            if (other != own) {
                view->recordReport(VmId(other), Incarnation(1), 1);
            }
        }
    }
    std::set<std::size_t> chosen;
    for (std::uint64_t subject = 0; subject < 50; ++subject) {
        std::size_t turns = 0;
        for (std::size_t n = 0; n < views.size(); ++n) {
            if (views[n]->isOwnTurn(subject)) {
                ++turns;
                chosen.insert(n);
            }
        }
        cr_assert_eq(turns, 1);
    }
    cr_assert_gt(chosen.size(), 3, "the turns are spread");
}

// Encoding and decoding must keep what the VMs tell each other about parts that crash runners.
Test(FleetReportCodec, keepsTheQuarantine)
{
    FleetReport report;
    report.quarantine.evidence = { { 1, 2, 3ms } };
    report.quarantine.answers = { { 4, 5ms } };
    report.quarantine.parts = { { 6, 7, 8, 9ms, 10ms, 11ms, 12ms } };
    const auto decoded = FleetReportCodec::decode(FleetReportCodec::encode(report));
    cr_assert(decoded && decoded->quarantine.evidence == report.quarantine.evidence);
    cr_assert(decoded->quarantine.answers == report.quarantine.answers);
    cr_assert(decoded->quarantine.parts == report.quarantine.parts);
}
