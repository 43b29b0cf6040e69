#pragma once

#include "Common/Ids.h"
#include "Gateway/Commands/PrefixCommands.h"
#include "Gateway/Commands/QuotaCommands.h"
#include "Gateway/PaceTypes.h"
#include "Gateway/QuarantineTypes.h"
#include "Gateway/RolloutTypes.h"
#include "Gateway/RunnerTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Pollenwind {

/// Report of a VM to the others. Runners, models and organisations are identified by hashes.
struct FleetReport {
    VmId vm;
    /// Incarnation of the VM's process.
    Incarnation incarnation;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence = 0;
    /// Tokens taken since the process started.
    UsageTotals usage;
    /// The VM's work at the runners.
    std::map<std::uint64_t, RunnerLoad> work;
    /// Runners that load weights or are about to by order of the VM.
    std::set<std::uint64_t> loading;
    /// Prefixes that runners have cached since the last report.
    std::vector<CachedPrefix> cachedPrefixes;
    /// How long ago the target weights of each model were set, where the VM knows it.
    std::vector<TargetWeightsAge> targetAges;
    /// Number of VMs that the report represents: 0 for the sender alone, else a relay's sum over its zone.
    unsigned members = 0;
    /// Weights that runners have recently loaded by order of the VM.
    std::vector<LoadedWeights> loaded;
    RunnerFailures failures;
    /// Levels of the nearly empty token buckets, which a VM that has just started takes over.
    UsageTotals lowLevels;
    /// Whether the receiver passes the report on to the other VMs of its zone.
    bool isForZone = false;
    /// Time since the process started, in a relay's sums the time for which they count; 0 if the sender does not tell
    /// it.
    std::chrono::milliseconds uptime { 0 };
    /// Parts of prompts that crash runners.
    QuarantineReport quarantine;
    /// Counts and evidence of the VM's roll-outs.
    std::vector<RolloutReport> rollouts;
    /// Term that the sender serves as the relay of its zone; 0 if it is not the relay.
    std::uint64_t term = 0;
    /// Pauses between stream events since the last report.
    std::vector<PaceSample> paces;
};

namespace FleetReportCodec {

    /// Encodes a report.
    /// @return The bytes of one datagram.
    std::string encode(const FleetReport& report);

    /// Decodes a report.
    /// @return The report, or nothing for invalid bytes.
    std::optional<FleetReport> decode(std::string_view bytes);

} // namespace FleetReportCodec

} // namespace Pollenwind
