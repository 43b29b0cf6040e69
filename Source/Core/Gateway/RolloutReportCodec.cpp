#include "Gateway/RolloutReportCodec.h"

namespace Pollenwind::RolloutReportCodec {

namespace {

    using OutcomeOffsets = std::vector<flatbuffers::Offset<wire::VersionOutcomes>>;

    std::vector<wire::BinCount> toBins(const TimeDistribution& times)
    {
        std::vector<wire::BinCount> bins;
        for (std::size_t bin = 0; bin < TimeDistribution::binCount; ++bin) {
            if (const auto n = times.bins()[bin]; n > 0) {
                bins.emplace_back(static_cast<std::uint8_t>(bin), n);
            }
        }
        return bins;
    }

    TimeDistribution fromBins(const flatbuffers::Vector<const wire::BinCount*>* bins)
    {
        TimeDistribution times;
        if (bins) {
            for (const auto* it : *bins) {
                if (it->bin() < TimeDistribution::binCount) {
                    times.setBin(it->bin(), it->samples());
                }
            }
        }
        return times;
    }

    void addOutcomes(flatbuffers::FlatBufferBuilder& builder, const std::map<std::string, RouteEvidence>& version,
        bool isTarget, OutcomeOffsets& outcomes)
    {
        for (const auto& [route, evidence] : version) {
            const auto name = builder.CreateString(route);
            const auto firstOutput = builder.CreateVectorOfStructs(toBins(evidence.firstTokenPerWork));
            const auto pauses = builder.CreateVectorOfStructs(toBins(evidence.timeBetweenTokens));
            outcomes.push_back(wire::CreateVersionOutcomes(
                builder, name, isTarget, evidence.requests, evidence.failures, firstOutput, pauses));
        }
    }

    RolloutReport readReport(const wire::Rollout& message)
    {
        RolloutReport report;
        report.service = ServiceId(message.service() ? message.service()->str() : "");
        report.order = message.order();
        report.latest = message.latest() == 0 ? report.order : message.latest();
        report.state = message.state() <= static_cast<std::uint8_t>(RolloutState::RolledBack)
            ? static_cast<RolloutState>(message.state())
            : RolloutState::Running;
        report.age = std::chrono::milliseconds(message.age_ms());
        report.requests = message.requests();
        report.targetRequests = message.target_requests();
        if (!message.outcomes()) {
            return report;
        }
        for (const auto* it : *message.outcomes()) {
            auto& version = it->is_target() ? report.evidence.newVersion : report.evidence.oldVersion;
            auto& evidence = version[it->route() ? it->route()->str() : ""];
            evidence.requests = it->requests();
            evidence.failures = it->failures();
            evidence.firstTokenPerWork = fromBins(it->first_output());
            evidence.timeBetweenTokens = fromBins(it->pauses());
        }
        return report;
    }

} // namespace

flatbuffers::Offset<Offsets> create(flatbuffers::FlatBufferBuilder& builder, const std::vector<RolloutReport>& reports)
{
    std::vector<flatbuffers::Offset<wire::Rollout>> offsets;
    for (const auto& report : reports) {
        OutcomeOffsets outcomes;
        addOutcomes(builder, report.evidence.oldVersion, false, outcomes);
        addOutcomes(builder, report.evidence.newVersion, true, outcomes);
        const auto service = builder.CreateString(report.service.value());
        const auto outcomesOffset = builder.CreateVector(outcomes);
        offsets.push_back(wire::CreateRollout(builder, service, report.order, static_cast<std::uint8_t>(report.state),
            static_cast<std::uint64_t>(report.age.count()), report.requests, report.targetRequests, outcomesOffset,
            report.latest == report.order ? 0 : report.latest));
    }
    return builder.CreateVector(offsets);
}

std::vector<RolloutReport> read(const Offsets* rollouts)
{
    std::vector<RolloutReport> reports;
    if (rollouts) {
        for (const auto* it : *rollouts) {
            reports.push_back(readReport(*it));
        }
    }
    return reports;
}

} // namespace Pollenwind::RolloutReportCodec
