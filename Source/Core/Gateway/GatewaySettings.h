#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Gateway/ColdRunnerLimit.h"
#include "Gateway/FleetQuota.h"
#include "Gateway/HomeRegions.h"
#include "Moves/ExposureRamp.h"
#include "Timeline/Log.h"
#include "Transport/Endpoint.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <set>
#include <string>

namespace Pollenwind {

/// Retries that the whole fleet may make for one service.
struct FleetRetryLimits {
    /// Retries per request.
    double perRequest = 0.1;
    /// Further retries per window, independent of the number of requests.
    double perWindow = 30;
    std::chrono::seconds window { 10 };
};

/// Which cache store keeps the shared parts of a prompt.
enum class CacheStorePlacement {
    /// The store in the zone of the runner.
    Zone,
    /// One store for each prefix, by hash.
    Prefix,
    /// By prefix while the prefixes in use exceed the capacity of one store, otherwise by zone.
    Auto,
};

template <> struct EnumTable<CacheStorePlacement> {
    static constexpr std::array rows {
        EnumName { CacheStorePlacement::Zone, "zone" },
        EnumName { CacheStorePlacement::Prefix, "prefix" },
        EnumName { CacheStorePlacement::Auto, "auto" },
    };
};

/// How requests are placed and admitted when the load exceeds the capacity. See docs/load-control.md.
struct LoadSettings {
    /// A route yields to more urgent ones of its service if its priority is at least this many ranks below theirs; 0 if
    /// no route does.
    unsigned yieldRanks = 2;
    /// Share of the repeatable requests that may be copied to a second runner, from 0 to 0.2; 0 for none.
    double hedgeShare = 0;
    /// Whether the placement uses the measured relative speed of runners.
    bool usesRunnerPace = true;
    CacheStorePlacement storePlacement = CacheStorePlacement::Auto;
    /// Whether the fleet records which quotas are in heavy use, for a restart of all VMs.
    bool recordsQuota = true;
    /// Names of the resumable routes whose streams may be copied before their first event.
    std::set<std::string> hedgedStreams = {};
};

/// Local settings of one gateway process. Settings that all VMs share are in the store.
struct GatewaySettings {
    VmId vm;
    ZoneId zone;
    /// Region of each zone, for routes and organisations with home regions.
    RegionMap regions;

    Endpoint listenCallers;
    /// Where the load balancer checks whether this VM accepts callers.
    Endpoint listenReady;
    std::string readyPath = "/ready";
    Endpoint listenMetrics;
    /// Where the other VMs send reports (UDP) and read the store's records that this VM passes on (TCP).
    Endpoint listenReports;

    /// Longest time after the withdrawal of an API key in which it may still be accepted.
    std::chrono::milliseconds maxKeyWithdrawalDelay { 5000 };
    /// Longest time until a change of the configuration, the shutdown of a runner or the evacuation of a zone takes
    /// effect.
    std::chrono::milliseconds maxChangeDelay { 2000 };
    /// Longest time after new target weights are set in which requests may still begin on older ones.
    std::chrono::milliseconds maxOldWeightsTime { 8000 };
    /// Shortest time between orders from two VMs to one runner.
    std::chrono::milliseconds minOrderHandoverInterval { 3000 };
    /// Time from the shutdown request until the process is killed.
    std::chrono::milliseconds shutdownTimeLimit { 8000 };
    FleetRetryLimits retries;
    QuotaTolerance quotaTolerance;
    ColdTolerance coldTolerance;
    /// Requests that a version without a verdict may get during its roll-out.
    ExposureAllowance exposure;
    /// Longest time after a version has shown that it is bad in which it may still get requests.
    std::chrono::milliseconds maxRollbackDelay { 5000 };

    LoadSettings load;

    /// Memory in which the process must stay, in bytes. The default is for a VM that names no limit.
    std::size_t memoryLimit = 96UL * 1024 * 1024;

    /// Descriptors that the process may have open, those for files included. The default is for a VM that names no
    /// limit.
    std::size_t descriptorLimit = 4100;

    LogLevel logLevel = LogLevel::Info;
};

/// Connections of callers that a process may keep. Half of the sockets, so that each running request finds a descriptor
/// for the connection to its runner.
/// @param descriptorLimit Descriptors of the process.
constexpr std::size_t maxCallerConnections(std::size_t descriptorLimit)
{
    // The platform reserves them for files.
    constexpr std::size_t fileDescriptors = 200;
    // Sockets for the store, other VMs, metrics, and callers that are being refused; less on a VM with few descriptors.
    constexpr std::size_t otherSockets = 400;
    constexpr std::size_t fewest = 16;
    const auto sockets = descriptorLimit > fileDescriptors ? descriptorLimit - fileDescriptors : 0;
    return std::max(fewest, (sockets - std::min(otherSockets, sockets / 4)) / 2);
}

} // namespace Pollenwind
