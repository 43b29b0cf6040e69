#pragma once

#include "Gateway/RoutingTypes.h"
#include "Gateway/RunnerTypes.h"

#include <algorithm>
#include <optional>

namespace Pollenwind {

/// Priority of the most urgent route to a service; nothing if no route leads there.
inline std::optional<unsigned> mostUrgentPriority(const RoutingConfiguration& configuration, const ServiceId& service)
{
    std::optional<unsigned> smallest;
    for (const auto& route : configuration.routes) {
        const bool leadsThere = std::ranges::any_of(
            route.shares, [&service](const RouteShare& it) { return it.service == service && it.weight > 0; });
        if (leadsThere) {
            smallest = std::min(smallest.value_or(route.priority), route.priority);
        }
    }
    return smallest;
}

/// Whether the requests of a route yield to more urgent ones of a service with an engine: the route's priority is at
/// least `yieldRanks` below that of the most urgent route to the service.
/// @param yieldRanks See LoadSettings::yieldRanks; 0 if no route yields.
inline bool isYieldingRoute(
    const RoutingConfiguration& configuration, const RouteRule& route, const ServiceId& service, unsigned yieldRanks)
{
    const auto rule = configuration.services.find(service);
    if (yieldRanks == 0 || rule == configuration.services.end() || !rule->second.engine) {
        return false;
    }
    const auto mostUrgent = mostUrgentPriority(configuration, service);
    return mostUrgent && route.priority >= *mostUrgent && route.priority - *mostUrgent >= yieldRanks;
}

/// Urgency under which the work of a route's requests is counted at the runners of a service.
inline RouteUrgency urgencyOf(
    const RoutingConfiguration& configuration, const RouteRule& route, const ServiceId& service, unsigned yieldRanks)
{
    return isYieldingRoute(configuration, route, service, yieldRanks) ? RouteUrgency::Yielding : RouteUrgency::Urgent;
}

/// Whether any route of a configuration yields.
inline bool hasYieldingRoute(const RoutingConfiguration& configuration, unsigned yieldRanks)
{
    return std::ranges::any_of(configuration.routes, [&](const RouteRule& route) {
        return std::ranges::any_of(route.shares, [&](const RouteShare& share) {
            return share.weight > 0 && isYieldingRoute(configuration, route, share.service, yieldRanks);
        });
    });
}

} // namespace Pollenwind
