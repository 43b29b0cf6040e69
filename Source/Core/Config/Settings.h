#pragma once

#include "Common/Ids.h"
#include "Config/Queries/CheckDocument.h"
#include "Timeline/Log.h"
#include "Transport/Endpoint.h"
#include "Transport/HttpServer.h"

#include <chrono>
#include <expected>
#include <string>
#include <string_view>
#include <vector>

namespace Pollenwind {

/// Local settings of one router. Settings that the whole fleet shares are in the service document.
struct Settings {
    VmId vm;
    ZoneId zone;

    Endpoint listenCallers;
    Endpoint listenAdmin;
    Endpoint listenPeers;

    Endpoint store;
    std::chrono::milliseconds storeCallTimeout { 1000 };
    /// Largest random delay of the first store calls, so that a simultaneous restart of many routers stays below the
    /// store's rate limit.
    std::chrono::milliseconds storeStartJitter { 1000 };
    /// Peer endpoints to contact at start, in addition to those in the platform's list.
    std::vector<Endpoint> seedPeers;

    /// Authenticates peer links; the same in all routers.
    std::string clusterSecret;
    /// Authenticates operators at the administration endpoint.
    std::string adminToken;

    HttpServerLimits httpLimits;
    std::chrono::milliseconds requestDeadline { 120'000 };
    /// Longest time that a request waits for tokens of its organisation's rate.
    std::chrono::milliseconds rateWaitLimit { 1000 };
    /// Longest time for which keys are accepted without a confirmation that the key table is up to date.
    std::chrono::milliseconds keysUnconfirmedLimit { 3000 };
    std::chrono::milliseconds connectTimeout { 500 };
    /// Longest time from a request until the first token of its response.
    std::chrono::milliseconds firstTokenTimeout { 30'000 };
    /// Longest time between two tokens of a response.
    std::chrono::milliseconds tokenGapTimeout { 5000 };
    std::chrono::milliseconds healthInterval { 1000 };
    /// Time for which a router that shuts down still accepts connections of callers.
    std::chrono::milliseconds shutdownListenTime { 5000 };
    /// Time after that in which running requests may finish before they are cut.
    std::chrono::milliseconds shutdownLimit { 600'000 };

    LogLevel logLevel = LogLevel::Info;
};

/// Parses and validates a settings file.
/// @param text JSON with comments.
/// @return The settings, or every fault found.
std::expected<Settings, std::vector<DocumentFault>> parseSettings(std::string_view text);

} // namespace Pollenwind
