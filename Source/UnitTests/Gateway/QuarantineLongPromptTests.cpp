#include "Gateway/FleetReportCodec.h"
#include "Gateway/QuarantineVm.h"

#include <numeric>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// A part that many requests share, and the one that crashes runners.
constexpr PartId common = 1;
constexpr PartId deadly = 3;

/// VMs that exchange reports, and prompts that are long conversations.
struct LongPromptFleet {
    explicit LongPromptFleet(std::size_t size)
    {
        for (std::size_t n = 0; n < size; ++n) {
            vms.push_back(std::make_unique<QuarantineVm>(clock));
        }
    }

    /// Turns of a conversation, which no other prompt has.
    std::vector<PartId> ownParts(std::size_t count)
    {
        std::vector<PartId> parts(count);
        std::iota(parts.begin(), parts.end(), nextPart);
        nextPart += count;
        return parts;
    }

    /// A VM loses several requests in one crash; one of them has the part that causes it.
    void crash(std::size_t vm, std::size_t turns, std::size_t soundRequests)
    {
        std::vector<PartId> lost { common, deadly };
        for (std::size_t n = 0; n <= soundRequests; ++n) {
            std::ranges::copy(ownParts(turns), std::back_inserter(lost));
        }
        vms[vm]->quarantine.recordCrash("runner", ++crashes, lost);
    }

    /// Reports are sent four times a second.
    void exchangeFor(std::chrono::milliseconds time)
    {
        for (; time.count() > 0; time -= 250ms) {
            for (auto& sender : vms) {
                FleetReport report;
                report.quarantine = sender->quarantine.takeReport();
                longestReport = std::max(longestReport, FleetReportCodec::encode(report).size());
                for (auto& receiver : vms) {
                    if (receiver != sender) {
                        receiver->quarantine.mergeReport(report.quarantine, true);
                    }
                }
            }
            clock.advance(250ms);
        }
    }

    ManualClock clock;
    std::vector<std::unique_ptr<QuarantineVm>> vms;
    std::uint64_t crashes = 0;
    PartId nextPart = 1'000'000;
    std::size_t longestReport = 0;
};

} // namespace

// Guards against a part near the begin of a long prompt that is never named: only the last 16 shared parts of a prompt
// counted (review case 9). Sound requests with the same caller and first part must go on.
Test(ForwardDispatcher, stopsSendingLongPromptsWithAPartThatCrashesRunners)
{
    for (const std::size_t turns : { std::size_t(18), std::size_t(1000) }) {
        GatewayFixture fixture;
        fixture.probe.refuses = true;
        PartId nextPart = 1'000'000;
        const auto send = [&](ScriptedAttempt attempt, bool isDeadly) {
            auto request = fixture.makeRequest("/stream/x");
            request.model = "model";
            request.parts.push_back({ common, 400 });
            if (isDeadly) {
                request.parts.push_back({ deadly, 200 });
            }
            for (std::size_t n = 0; n <= turns; ++n) {
                request.parts.push_back({ nextPart++, 60 });
            }
            fixture.scripted.script = { std::move(attempt) };
            fixture.scripted.arrivals.clear();
            return fixture.forward(request);
        };
        const ScriptedAttempt answered { .isEventStream = true, .parts = { "id: 1\ndata: a\n\n" } };
        const ScriptedAttempt crashed { .isEventStream = true,
            .endError = Error { ErrorCode::ConnectionLost, "reset", RunState::Unknown } };
        for (unsigned n = 0; n < 3; ++n) {
            cr_assert(send(answered, false).has_value());
            cr_assert(!send(crashed, true));
            const auto entries = fixture.runners.entries();
            for (auto entry : entries) {
                entry.incarnation = Incarnation(entry.incarnation.value() + 1);
                fixture.runners.updateEntry(entry);
            }
            fixture.clock.advance(1s);
        }
        const auto refused = send(answered, true);
        cr_assert(!refused && refused.error().runState == RunState::NotRun);
        cr_assert_eq(fixture.scripted.arrivals.size(), 0);
        cr_assert(send(answered, false).has_value());
        cr_assert_eq(fixture.quarantine.quarantinedParts().size(), 1);
    }
}

// Guards against evidence that is lost among the parts of sound requests: each VM loses some long prompts in one crash
// and reports all of their parts. From 3 s after the fifth crash every VM must refuse the part, and no other.
Test(PartQuarantine, namesAPartAmongTheLongPromptsOfAFleet)
{
    LongPromptFleet fleet(12);
    for (auto& vm : fleet.vms) {
        vm->quarantine.recordAnswer(std::array { common });
    }
    for (std::size_t n = 0; n < 5; ++n) {
        fleet.crash(n, 18, 5);
        fleet.exchangeFor(250ms);
    }
    fleet.exchangeFor(3s);
    for (const auto& vm : fleet.vms) {
        cr_assert(vm->isQuarantined(deadly));
        cr_assert_eq(vm->quarantine.quarantinedParts().size(), 1);
    }
}

// Prompts with any number of parts must not grow the state or the reports without bound, and the part must be named
// among them.
Test(PartQuarantine, staysWithinItsBoundsWithLongPrompts)
{
    LongPromptFleet fleet(2);
    for (std::size_t n = 0; n < 40; ++n) {
        fleet.crash(0, 4000, 0);
        fleet.vms.back()->quarantine.recordAnswer(fleet.ownParts(4000));
        fleet.exchangeFor(250ms);
    }
    constexpr auto limit = PartSuspects::maxParts + PartQuarantine::maxQuarantined + 2 * PartQuarantine::maxAnswered
        + PartQuarantine::maxExplained + 3 * QuarantineNews<CrashEvidence>::maxPending;
    for (const auto& vm : fleet.vms) {
        cr_assert_leq(vm->quarantine.size(), limit);
        cr_assert(vm->isQuarantined(deadly));
    }
    // A list of evidence has entries of 24 bytes, one of answers 16, one of quarantined parts 40.
    cr_assert_leq(
        fleet.longestReport, 24 * PartQuarantine::maxReportedEvidence + (16 + 40) * PartQuarantine::maxReported + 256);
}
