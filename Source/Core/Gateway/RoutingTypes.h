#pragma once

#include "Common/Digest.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// Whether requests of a route may be repeated.
enum class RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// The response is a stream of events. Runs at most once, unless the route allows resuming.
    Streaming,
};

template <> struct EnumTable<RequestKind> {
    static constexpr std::array rows {
        EnumName { RequestKind::Safe, "safe" },
        EnumName { RequestKind::Unsafe, "unsafe" },
        EnumName { RequestKind::Streaming, "streaming" },
    };
};

/// Share of a route's requests that goes to one service, in proportion to the weights of all shares.
struct RouteShare {
    ServiceId service;
    double weight = 1;
};

/// One route: the requests that it matches, the services that get them and the rules for timeouts and retries.
struct RouteRule {
    std::string name;
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    std::vector<RouteShare> shares;
    /// Longest time that a request may take.
    std::chrono::milliseconds timeout { 30'000 };
    /// Target latency of a response, or of the first event of a stream.
    std::chrono::milliseconds objective { 1000 };
    /// From 0, the most urgent, to 9.
    unsigned priority = 5;
    /// Attempts that may have run the request. Refusals and failed connections are not counted.
    unsigned maxAttempts = 1;
    /// Whether callers without an API key may use the route.
    bool isPublic = false;
    /// Whether a stream that broke off is resumed at another runner after the last event that the caller received.
    bool isResumable = false;
    /// Regions whose runners may get the requests; empty if all may.
    std::vector<RegionId> homeRegions;
};

/// Properties of the runners of an engine service, one that generates text with a model.
struct EngineProfile {
    /// Requests that run in one batch.
    unsigned slots = 1;
    /// Size of the cache memory in tokens.
    std::uint32_t cacheTokens = 0;
    std::vector<std::string> models;
};

/// Store of cache entries that all runners share. It runs no requests.
struct CacheStore {
    Endpoint endpoint;
    ZoneId zone;
    /// Tokens that fit into it; 0 if that is not configured.
    std::uint64_t capacityTokens = 0;
};

/// One service to which routes forward requests.
struct ServiceRule {
    ServiceId id;
    std::string healthPath;
    /// Connections that one runner accepts; 0 if that is not configured.
    unsigned maxConnections = 0;
    std::optional<EngineProfile> engine;
    std::optional<CacheStore> cacheStore;
    /// Requests a second that a cold runner can handle, over all VMs; 0 if there is no limit.
    double coldRequestsPerSecond = 0;
    /// Time after its start for which a runner is cold.
    std::chrono::milliseconds coldTime { 0 };
};

/// One organisation with its API keys and its token rate.
struct OrganisationRule {
    OrganisationId id;
    std::vector<Digest> keyDigests;
    /// Overrides the priority of the route.
    std::optional<unsigned> priority;
    /// Tokens per second over all VMs; 0 for no limit.
    double rate = 0;
    /// Tokens that may be taken at once beyond the rate.
    double burst = 0;
    /// Tokens that a request without a token count takes.
    double uncountedTokens = 1;
    /// Whether the organisation shares no cache entries with others.
    bool isIsolated = false;
    /// Regions whose runners may get the requests; empty if all may.
    std::vector<RegionId> homeRegions;
};

/// Limits on the size of requests and on the time that callers may take to send them.
struct CallerLimits {
    std::size_t headerBytes = 16UL * 1024;
    std::size_t bodyBytes = 8UL * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 10'000 };
    std::chrono::milliseconds idleTimeout { 60'000 };
};

/// One version of the routing configuration.
struct RoutingConfiguration {
    /// Version given by the operator; 0 before the first configuration.
    std::int64_t version = 0;
    std::vector<RouteRule> routes;
    std::map<ServiceId, ServiceRule> services;
    std::vector<OrganisationRule> organisations;
    /// Whether requests on routes that are not public need an API key. That is independent of the number of
    /// organisations: while there is none, no key is valid.
    bool requiresKeys = true;
    /// Entries that were left out because they cannot be read, each with the cause.
    std::vector<std::string> unreadableEntries;
    CallerLimits limits;

    /// Cache stores of all services.
    std::vector<CacheStore> cacheStores() const
    {
        std::vector<CacheStore> stores;
        for (const auto& [id, service] : services) {
            if (service.cacheStore) {
                stores.push_back(*service.cacheStore);
            }
        }
        return stores;
    }
};

} // namespace Pollenwind
