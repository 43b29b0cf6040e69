#include "Gateway/FleetReportCodec.h"

#include "Gateway/FleetMessages_generated.h"
#include "Gateway/RolloutReportCodec.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Pollenwind::FleetReportCodec {

namespace {

    std::vector<wire::LeavingRunner> toWire(const std::vector<LeavingRunner>& leaving)
    {
        std::vector<wire::LeavingRunner> list;
        for (const auto& it : leaving) {
            list.emplace_back(it.process, static_cast<std::uint64_t>(it.age.count()));
        }
        return list;
    }

    std::vector<LeavingRunner> leavingOf(const wire::FleetReport& message)
    {
        std::vector<LeavingRunner> list;
        if (message.leaving()) {
            for (const auto* it : *message.leaving()) {
                list.push_back({ it->process(), std::chrono::milliseconds(it->age_ms()) });
            }
        }
        return list;
    }

    /// Work of yielding routes, for the runners that have any.
    std::vector<wire::YieldingWork> yieldingWorkOf(const std::map<std::uint64_t, RunnerLoad>& work)
    {
        std::vector<wire::YieldingWork> list;
        for (const auto& [runner, load] : work) {
            const auto requests = load.requests - std::min(load.requests, load.urgentRequests);
            if (requests > 0 || load.yieldingTokens > 0) {
                list.emplace_back(runner, static_cast<float>(load.yieldingTokens), requests);
            }
        }
        return list;
    }

    void readYieldingWork(const wire::FleetReport& message, std::map<std::uint64_t, RunnerLoad>& work)
    {
        if (!message.yielding_work()) {
            return;
        }
        for (const auto* it : *message.yielding_work()) {
            if (const auto load = work.find(it->runner()); load != work.end()) {
                load->second.urgentRequests -= std::min(load->second.urgentRequests, it->requests());
                load->second.yieldingTokens = it->waiting_tokens();
            }
        }
    }

    using Offsets = std::tuple<flatbuffers::Offset<flatbuffers::Vector<const wire::CrashEvidence*>>,
        flatbuffers::Offset<flatbuffers::Vector<const wire::PartAnswer*>>,
        flatbuffers::Offset<flatbuffers::Vector<const wire::QuarantinedPart*>>>;

    std::uint32_t toWire(std::chrono::milliseconds time)
    {
        constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max();
        return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, longest));
    }

    Offsets encodeQuarantine(flatbuffers::FlatBufferBuilder& builder, const QuarantineReport& report)
    {
        std::vector<wire::CrashEvidence> evidence;
        for (const auto& it : report.evidence) {
            evidence.emplace_back(it.part, it.crash, toWire(it.age));
        }
        std::vector<wire::PartAnswer> answers;
        for (const auto& it : report.answers) {
            answers.emplace_back(it.part, toWire(it.age));
        }
        std::vector<wire::QuarantinedPart> parts;
        for (const auto& it : report.parts) {
            parts.emplace_back(it.part, it.crashes, it.trials, toWire(it.age), toWire(it.evidenceAge), toWire(it.idle),
                toWire(it.untilTrial));
        }
        return { builder.CreateVectorOfStructs(evidence), builder.CreateVectorOfStructs(answers),
            builder.CreateVectorOfStructs(parts) };
    }

    QuarantineReport decodeQuarantine(const wire::FleetReport& message)
    {
        using std::chrono::milliseconds;
        QuarantineReport report;
        if (message.crash_evidence()) {
            for (const auto* it : *message.crash_evidence()) {
                report.evidence.push_back({ it->part(), it->crash(), milliseconds(it->age_ms()) });
            }
        }
        if (message.part_answers()) {
            for (const auto* it : *message.part_answers()) {
                report.answers.push_back({ it->part(), milliseconds(it->age_ms()) });
            }
        }
        if (message.quarantined()) {
            for (const auto* it : *message.quarantined()) {
                report.parts.push_back({ it->part(), it->crashes(), it->trials(), milliseconds(it->age_ms()),
                    milliseconds(it->evidence_age_ms()), milliseconds(it->idle_ms()),
                    milliseconds(it->until_trial_ms()) });
            }
        }
        return report;
    }

} // namespace

std::string encode(const FleetReport& report)
{
    flatbuffers::FlatBufferBuilder builder;
    std::vector<wire::OrganisationUsage> usage;
    for (const auto& [organisation, tokens] : report.usage) {
        usage.emplace_back(organisation, tokens);
    }
    std::vector<wire::OrganisationUsage> lowLevels;
    for (const auto& [organisation, level] : report.lowLevels) {
        lowLevels.emplace_back(organisation, level);
    }
    std::vector<wire::RunnerWork> work;
    for (const auto& [runner, load] : report.work) {
        work.emplace_back(runner, static_cast<float>(load.waitingTokens), load.requests);
    }
    const auto yieldingWork = yieldingWorkOf(report.work);
    const std::vector<std::uint64_t> loading(report.loading.begin(), report.loading.end());
    std::vector<wire::HeldPrefix> cachedPrefixes;
    for (const auto& prefix : report.cachedPrefixes) {
        cachedPrefixes.emplace_back(prefix.prefix, prefix.holder);
    }
    std::vector<wire::NamedAge> targetAges;
    for (const auto& it : report.targetAges) {
        targetAges.emplace_back(it.model, it.version, static_cast<std::uint64_t>(it.age.count()));
    }
    std::vector<wire::LoadedWeights> loaded;
    for (const auto& it : report.loaded) {
        loaded.emplace_back(it.runner, it.model, it.version);
    }
    const auto vm = builder.CreateString(report.vm.value());
    const auto usageOffset = builder.CreateVectorOfStructs(usage);
    const auto workOffset = builder.CreateVectorOfStructs(work);
    const auto loadingOffset = builder.CreateVector(loading);
    const auto cachedOffset = builder.CreateVectorOfStructs(cachedPrefixes);
    const auto targetAgesOffset = builder.CreateVectorOfStructs(targetAges);
    const auto loadedOffset = builder.CreateVectorOfStructs(loaded);
    const auto unreachableOffset = builder.CreateVector(report.failures.unreachable);
    const auto replacedOffset = builder.CreateVector(report.failures.replaced);
    const auto lowLevelsOffset = builder.CreateVectorOfStructs(lowLevels);
    const auto [evidence, answers, parts] = encodeQuarantine(builder, report.quarantine);
    const auto leavingOffset = builder.CreateVectorOfStructs(toWire(report.failures.leaving));
    const auto yieldingOffset = builder.CreateVectorOfStructs(yieldingWork);
    const auto rolloutsOffset = RolloutReportCodec::create(builder, report.rollouts);
    builder.Finish(wire::CreateFleetReport(builder, vm, report.incarnation.value(), report.sequence, usageOffset,
        workOffset, loadingOffset, cachedOffset, targetAgesOffset, report.members, loadedOffset, unreachableOffset,
        replacedOffset, lowLevelsOffset, report.isForZone, static_cast<std::uint64_t>(report.uptime.count()),
        leavingOffset, evidence, answers, parts, rolloutsOffset, report.term, yieldingOffset));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

std::optional<FleetReport> decode(std::string_view bytes)
{
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!wire::VerifyFleetReportBuffer(verifier)) {
        return std::nullopt;
    }
    const auto* message = wire::GetFleetReport(data);
    if (!message->vm()) {
        return std::nullopt;
    }
    FleetReport report;
    report.vm = VmId(message->vm()->str());
    report.incarnation = Incarnation(message->boot());
    report.sequence = message->sequence();
    report.members = message->members();
    report.isForZone = message->pass_on();
    report.uptime = std::chrono::milliseconds(message->uptime_ms());
    report.term = message->term();
    if (message->usage()) {
        for (const auto* it : *message->usage()) {
            report.usage[it->organisation()] = it->tokens();
        }
    }
    if (message->work()) {
        for (const auto* it : *message->work()) {
            report.work[it->runner()] = { it->requests(), it->waiting_tokens(), it->requests(), 0 };
        }
    }
    readYieldingWork(*message, report.work);
    if (message->loading()) {
        report.loading.insert(message->loading()->begin(), message->loading()->end());
    }
    if (message->held()) {
        for (const auto* it : *message->held()) {
            report.cachedPrefixes.push_back({ it->prefix(), it->holder() });
        }
    }
    if (message->named()) {
        for (const auto* it : *message->named()) {
            report.targetAges.push_back({ it->model(), it->version(), std::chrono::milliseconds(it->age_ms()) });
        }
    }
    if (message->loaded()) {
        for (const auto* it : *message->loaded()) {
            report.loaded.push_back({ it->runner(), it->model(), it->version() });
        }
    }
    if (message->unreachable()) {
        report.failures.unreachable.assign(message->unreachable()->begin(), message->unreachable()->end());
    }
    if (message->replaced()) {
        report.failures.replaced.assign(message->replaced()->begin(), message->replaced()->end());
    }
    report.failures.leaving = leavingOf(*message);
    if (message->debts()) {
        for (const auto* it : *message->debts()) {
            report.lowLevels[it->organisation()] = it->tokens();
        }
    }
    report.quarantine = decodeQuarantine(*message);
    report.rollouts = RolloutReportCodec::read(message->rollouts());
    return report;
}

} // namespace Pollenwind::FleetReportCodec
