#pragma once

#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Pollenwind {

/// Kind of a service.
enum class ServiceKind {
    /// Language model that generates tokens; its upstreams are inference engines.
    Model,
    /// HTTP service whose responses are not streamed, e.g. bookings.
    Plain,
    /// Store of KV cache blocks from which engines can import.
    CacheStore,
};

template <> struct EnumTable<ServiceKind> {
    static constexpr std::array rows {
        EnumName { ServiceKind::Model, "model" },
        EnumName { ServiceKind::Plain, "plain" },
        EnumName { ServiceKind::CacheStore, "cache-store" },
    };
};

/// Who may use a route.
enum class RouteAccess {
    /// Callers with a valid API key.
    Keyed,
    /// Everyone.
    Public,
};

template <> struct EnumTable<RouteAccess> {
    static constexpr std::array rows {
        EnumName { RouteAccess::Keyed, "keyed" },
        EnumName { RouteAccess::Public, "public" },
    };
};

/// Whether a call may be retried after it may have been executed.
enum class CallKind {
    Idempotent,
    NonIdempotent,
};

template <> struct EnumTable<CallKind> {
    static constexpr std::array rows {
        EnumName { CallKind::Idempotent, "idempotent" },
        EnumName { CallKind::NonIdempotent, "non-idempotent" },
    };
};

/// One upstream of a service.
struct UpstreamSpec {
    UpstreamId id;
    Endpoint endpoint;
    ZoneId zone;
    /// True when the upstream refuses orders that carry an old fencing token.
    bool checksFencing = false;
};

/// One route of a plain service.
struct RouteSpec {
    std::string method;
    std::string path;
    RouteAccess access = RouteAccess::Keyed;
    CallKind call = CallKind::NonIdempotent;
    /// Tokens charged to the organisation for one call.
    std::uint32_t costTokens = 0;
};

/// One service.
struct ServiceSpec {
    ServiceId id;
    ServiceKind kind = ServiceKind::Model;
    /// Version that upstreams run initially. A move (a version change during operation) replaces it.
    VersionId version;
    std::vector<ServiceId> dependsOn;
    std::vector<UpstreamSpec> upstreams;
    /// Routes of a plain service.
    std::vector<RouteSpec> routes;
    /// Access to a model service.
    RouteAccess access = RouteAccess::Keyed;
    /// Tokens in one block of the engines' prefix cache.
    std::uint32_t blockTokens = 2048;
    /// Largest output that a caller may ask for, in tokens.
    std::uint32_t maxOutputTokens = 4096;
    /// Upstreams that may load weights at the same time.
    std::uint32_t concurrentLoads = 1;
};

/// Limits of one organisation.
struct OrganisationSpec {
    OrganisationId id;
    /// Sustained rate over the whole fleet, in tokens per second.
    double rate = 0;
    /// Capacity of the token bucket over the whole fleet, in tokens.
    double burst = 0;
    /// Weight in the fair scheduling of organisations.
    double weight = 1;
};

/// The service document: the configuration that operators write and the whole fleet shares.
struct ServiceDocument {
    std::vector<ZoneId> zones;
    std::map<ServiceId, ServiceSpec> services;
    std::map<OrganisationId, OrganisationSpec> organisations;
};

} // namespace Pollenwind
