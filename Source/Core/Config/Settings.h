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

/// Local settings of one router. Everything that the fleet shares is in the service document.
struct Settings {
    VmId vm;
    ZoneId zone;

    Endpoint listenCallers;
    Endpoint listenAdmin;
    Endpoint listenPeers;

    Endpoint store;
    std::chrono::milliseconds storeCallTimeout { 1000 };
    /// Range of the random delay of the first store calls, so that a mass restart stays below the store's rate limit.
    std::chrono::milliseconds storeStartJitter { 1000 };
    /// Peer endpoints to ask at start, in addition to the platform's list.
    std::vector<Endpoint> seedPeers;

    /// Shared by all routers; authenticates peer links.
    std::string clusterSecret;
    /// Authenticates operators at the administration port.
    std::string adminToken;

    HttpServerLimits httpLimits;
    std::chrono::milliseconds requestDeadline { 120'000 };
    std::chrono::milliseconds rateWaitLimit { 1000 };
    std::chrono::milliseconds keysUnconfirmedLimit { 3000 };
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds firstTokenTimeout { 30'000 };
    std::chrono::milliseconds tokenGapTimeout { 5000 };
    std::chrono::milliseconds healthInterval { 1000 };
    std::chrono::milliseconds shutdownListenTime { 5000 };
    std::chrono::milliseconds shutdownLimit { 600'000 };

    LogLevel logLevel = LogLevel::Info;
};

/// Parses and checks a settings file.
/// @param text JSON with comments.
/// @return The settings, or every fault found.
std::expected<Settings, std::vector<DocumentFault>> parseSettings(std::string_view text);

} // namespace Pollenwind
