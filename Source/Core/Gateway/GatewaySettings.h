#pragma once

#include "Common/Ids.h"
#include "Timeline/Log.h"
#include "Transport/Endpoint.h"

#include <chrono>

namespace Pollenwind {

/// Retries that the whole fleet may make for one service.
struct FleetRetryLimits {
    /// Retries for each request.
    double perRequest = 0.1;
    /// Retries in each window besides.
    double perWindow = 30;
    std::chrono::seconds window { 10 };
};

/// Local settings of one gateway. Everything that the fleet shares is in the store.
struct GatewaySettings {
    VmId vm;
    ZoneId zone;

    Endpoint listenCallers;
    /// Where the balancer asks whether this VM takes callers.
    Endpoint listenReady;
    std::string readyPath = "/ready";
    Endpoint listenMetrics;
    /// Where the other VMs send reports, over UDP.
    Endpoint listenReports;

    /// Time after a key's withdrawal in which it may still be accepted.
    std::chrono::milliseconds keyWithdrawalLimit { 5000 };
    /// Time after which a change of the configuration, or the leaving of a runner, is followed.
    std::chrono::milliseconds changeLimit { 2000 };
    /// Time after new weights are named in which requests may still begin on older ones.
    std::chrono::milliseconds oldWeightsLimit { 8000 };
    /// Shortest time between orders of two VMs to one runner.
    std::chrono::milliseconds orderHandover { 3000 };
    /// Time from the request to stop until the process is killed.
    std::chrono::milliseconds stopLimit { 8000 };
    FleetRetryLimits retries;

    LogLevel logLevel = LogLevel::Info;
};

} // namespace Pollenwind
