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

/// What may be repeated of a request, as its route says.
enum class RequestKind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Answered by a stream of events. Runs at most once, unless the route allows to resume it.
    Streaming,
};

template <> struct EnumTable<RequestKind> {
    static constexpr std::array rows {
        EnumName { RequestKind::Safe, "safe" },
        EnumName { RequestKind::Unsafe, "unsafe" },
        EnumName { RequestKind::Streaming, "streaming" },
    };
};

/// Part of a route's requests that goes to one service.
struct RouteShare {
    ServiceId service;
    double weight = 1;
};

/// One route: which requests it matches, where they go and how they are treated.
struct RouteRule {
    std::string name;
    std::string host;
    /// Path prefix; begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::Unsafe;
    std::vector<RouteShare> shares;
    /// Longest time that a request may stay unanswered.
    std::chrono::milliseconds timeout { 30'000 };
    /// Time within which an answer, or the first event of a stream, is on time.
    std::chrono::milliseconds objective { 1000 };
    /// Rank from 0, the most urgent, to 9.
    unsigned priority = 5;
    /// Runners to which one request may be sent.
    unsigned maxAttempts = 1;
    /// Open to callers without an API key.
    bool isPublic = false;
    bool isResumable = false;
};

/// What is known of an engine service's runners.
struct EngineProfile {
    /// Requests that run in one batch.
    unsigned slots = 1;
    /// Tokens of cache memory.
    std::uint32_t cacheTokens = 0;
    std::vector<std::string> models;
};

/// Store of cache entries that runners share. It runs no requests.
struct CacheStore {
    Endpoint endpoint;
    ZoneId zone;
};

/// One service that routes lead to.
struct ServiceRule {
    ServiceId id;
    std::string healthPath;
    unsigned maxConnections = 0;
    std::optional<EngineProfile> engine;
    std::optional<CacheStore> cacheStore;
};

/// One organisation with its keys and its rate.
struct OrganisationRule {
    OrganisationId id;
    std::vector<Digest> keyDigests;
    /// Replaces the priority of the route.
    std::optional<unsigned> priority;
    /// Tokens a second over all VMs; 0 for no limit.
    double rate = 0;
    double burst = 0;
    /// Tokens that a request without a token count costs.
    double uncountedTokens = 1;
    /// Shares no cache entry with another organisation.
    bool isIsolated = false;
};

/// Bounds on what callers may send and on how long they may take.
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
    CallerLimits limits;
};

} // namespace Pollenwind
