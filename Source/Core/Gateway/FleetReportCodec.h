#pragma once

#include "Common/Ids.h"
#include "Gateway/Commands/PrefixCommands.h"
#include "Gateway/Commands/QuotaCommands.h"
#include "Gateway/RunnerTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace Pollenwind {

/// What a VM tells the others.
struct FleetReport {
    VmId vm;
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    UsageTotals usage;
    std::map<std::uint64_t, RunnerLoad> work;
    /// Runners that are about to load weights, when the VM orders loads.
    std::set<std::uint64_t> loading;
    /// Prefixes read since the last report.
    std::vector<CachedPrefix> cachedPrefixes;
    std::vector<TargetWeightsAge> targetAges;
    /// VMs for which the report stands: 0 for the sender alone, else a relay's sum over its zone.
    unsigned members = 0;
    std::vector<LoadedWeights> loaded;
    RunnerFailures failures;
};

namespace FleetReportCodec {

    /// @return The bytes of a datagram.
    std::string encode(const FleetReport& report);

    /// @return The report, or nothing for bytes that are no report.
    std::optional<FleetReport> decode(std::string_view bytes);

} // namespace FleetReportCodec

} // namespace Pollenwind
