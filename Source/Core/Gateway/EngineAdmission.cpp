#include "Gateway/EngineAdmission.h"

#include "Gateway/YieldingRoutes.h"
#include "Timeline/Log.h"

#include <algorithm>
#include <set>

namespace Pollenwind {

void EngineAdmission::adopt(const RoutingConfiguration& configuration)
{
    m_configuration = configuration.version;
    std::set<ServiceId> yielding;
    for (const auto& route : configuration.routes) {
        for (const auto& share : route.shares) {
            if (isYieldingRoute(configuration, route, share.service, m_context.yieldRanks)) {
                yielding.insert(share.service);
            }
        }
    }
    std::erase_if(m_services, [&yielding](const auto& it) { return !yielding.contains(it.first); });
    for (const auto& service : yielding) {
        m_services.try_emplace(service);
    }
}

EngineAdmission::Service* EngineAdmission::find(const RoutingConfiguration& configuration, const ServiceId& service)
{
    // Requests that were admitted under an older configuration use the state of the newer one.
    if (configuration.version > m_configuration) {
        adopt(configuration);
    }
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

void EngineAdmission::applyPool(const RoutingConfiguration& configuration, const ServiceId& service,
    RouteUrgency urgency, std::vector<RunnerCandidate>& candidates)
{
    auto* state = find(configuration, service);
    if (!state || candidates.empty()) {
        return;
    }
    const auto shareBefore = state->pool.share();
    state->pool.observe(m_context.clock.now(), candidates);
    if (state->pool.share() != shareBefore) {
        logStateChange("prompt-pool-resized",
            { { "service", service.value() }, { "engines", std::to_string(state->pool.sizeOf(candidates.size())) },
                { "of", std::to_string(candidates.size()) } });
    }
    m_context.metrics.set(Gauge::PromptPoolEngines, state->pool.sizeOf(candidates.size()));
    state->pool.markMembers(candidates);
    if (urgency == RouteUrgency::Yielding) {
        std::erase_if(candidates, [](const RunnerCandidate& it) { return !it.isInPromptPool; });
    }
}

} // namespace Pollenwind
