#include "Gateway/FleetReportCodec.h"

#include "Gateway/FleetMessages_generated.h"
#include "Gateway/RolloutReportCodec.h"

namespace Pollenwind::FleetReportCodec {

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
    const auto rolloutsOffset = RolloutReportCodec::create(builder, report.rollouts);
    builder.Finish(wire::CreateFleetReport(builder, vm, report.incarnation.value(), report.sequence, usageOffset,
        workOffset, loadingOffset, cachedOffset, targetAgesOffset, report.members, loadedOffset, unreachableOffset,
        replacedOffset, lowLevelsOffset, report.isForZone, static_cast<std::uint64_t>(report.uptime.count()),
        rolloutsOffset));
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
    if (message->usage()) {
        for (const auto* it : *message->usage()) {
            report.usage[it->organisation()] = it->tokens();
        }
    }
    if (message->work()) {
        for (const auto* it : *message->work()) {
            report.work[it->runner()] = { it->requests(), it->waiting_tokens() };
        }
    }
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
    if (message->debts()) {
        for (const auto* it : *message->debts()) {
            report.lowLevels[it->organisation()] = it->tokens();
        }
    }
    report.rollouts = RolloutReportCodec::read(message->rollouts());
    return report;
}

} // namespace Pollenwind::FleetReportCodec
