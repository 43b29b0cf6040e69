#include "Gateway/EngineAdmission.h"

#include "Gateway/YieldingRoutes.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <set>
#include <string>

namespace Pollenwind {

namespace {

    constexpr double percent = 100;

} // namespace

void EngineAdmission::adopt(const RoutingConfiguration& configuration)
{
    m_configuration = configuration.version;
    std::set<ServiceId> yielding;
    for (const auto& route : configuration.routes) {
        for (const auto& share : route.shares) {
            if (share.weight > 0 && isYieldingRoute(configuration, route, share.service, m_context.yieldRanks)) {
                yielding.insert(share.service);
            }
        }
    }
    std::erase_if(m_services, [&yielding](const auto& it) { return !yielding.contains(it.first); });
    for (const auto& service : yielding) {
        m_services.try_emplace(service);
    }
}

bool EngineAdmission::hasYieldingRoute(const RoutingConfiguration& configuration)
{
    // Requests that were admitted under an older configuration use the state of the newer one.
    if (configuration.version > m_configuration) {
        adopt(configuration);
    }
    return !m_services.empty();
}

EngineAdmission::ServiceState* EngineAdmission::find(
    const RoutingConfiguration& configuration, const ServiceId& service)
{
    if (!hasYieldingRoute(configuration)) {
        return nullptr;
    }
    const auto it = m_services.find(service);
    return it == m_services.end() ? nullptr : &it->second;
}

void EngineAdmission::applyPool(const RoutingConfiguration& configuration, const ServiceId& service,
    RouteUrgency urgency, std::vector<RunnerCandidate>& candidates)
{
    auto* state = candidates.empty() ? nullptr : find(configuration, service);
    if (!state) {
        return;
    }
    double slots = 0;
    double urgentRequests = 0;
    for (const auto& it : candidates) {
        slots += it.slots;
        urgentRequests += it.load.urgentRequests;
    }
    const double share
        = state->poolSize.update(m_context.clock.now(), candidates.size(), slots, urgentRequests / m_knownWorkShare);
    m_context.metrics.set(Gauge::PromptPoolEngines, PromptPool::sizeOf(candidates.size(), share));
    PromptPool::markMembers(candidates, share);
    if (urgency == RouteUrgency::Yielding) {
        std::erase_if(candidates, [](const RunnerCandidate& it) { return !it.isInPromptPool; });
    }
}

Outcome<void> EngineAdmission::check(const RoutingConfiguration& configuration, const ServiceId& service,
    const RequestId& request, const EngineDemand& demand, std::span<const RunnerCandidate> candidates)
{
    auto* state = find(configuration, service);
    if (!state) {
        return {};
    }
    const auto now = m_context.clock.now();
    auto sharedDemand = demand;
    if (const auto tokens = sharedTokens(*state, demand)) {
        state->shares.recordDemand(now, demand.organisation, *tokens);
        sharedDemand.isAboveShare = state->shares.isAboveShare(demand.organisation);
        m_context.metrics.set(Gauge::FairShareOrganisations, state->shares.size());
    }
    const auto decision = LoadAdmission::decide(now, sharedDemand, candidates, state->rate);
    if (decision.verdict != AdmissionVerdict::Reject) {
        return {};
    }
    m_context.metrics.count(Counter::QueueShed);
    if (decision.reason == AdmissionReason::AboveShare) {
        m_context.metrics.count(Counter::FairShareRejections);
    }
    const auto toMilliseconds = [](std::chrono::nanoseconds time) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    };
    const auto spread = static_cast<double>(std::hash<RequestId> {}(request) % 10'000) / 10'000;
    return std::unexpected(Error { ErrorCode::Unavailable,
        "no engine can start the request in time (" + std::string(nameOf(decision.reason)) + "): "
            + toMilliseconds(decision.excess) + " ms too late at the best of " + std::to_string(candidates.size())
            + ", learnt " + std::to_string(static_cast<long>(state->rate.tokensPerSecond(now).value_or(0)))
            + " tokens/s, " + toMilliseconds(state->rate.age(now)) + " ms ago, fair share "
            + std::to_string(std::lround(percent * state->shares.shareOfDemand(demand.organisation)))
            + "% of the organisation's demand",
        RunState::NotRun, state->returns.assign(now, demand.organisation, decision.excess, demand.remaining, spread) });
}

std::optional<double> EngineAdmission::sharedTokens(const ServiceState& state, const EngineDemand& demand) const
{
    return demand.urgency == RouteUrgency::Yielding ? state.rate.countedTokens(m_context.clock.now(), demand.tokens)
                                                    : std::nullopt;
}

void EngineAdmission::recordAdmitted(const ServiceId& service, const EngineDemand& demand)
{
    const auto it = m_services.find(service);
    const auto tokens = it == m_services.end() ? std::nullopt : sharedTokens(it->second, demand);
    if (tokens) {
        it->second.shares.recordAdmitted(m_context.clock.now(), demand.organisation, *tokens);
    }
}

void EngineAdmission::withdraw(const ServiceId& service, const EngineDemand& demand)
{
    const auto it = m_services.find(service);
    const auto tokens = it == m_services.end() ? std::nullopt : sharedTokens(it->second, demand);
    if (tokens) {
        it->second.shares.withdrawDemand(m_context.clock.now(), demand.organisation, *tokens);
    }
}

void EngineAdmission::recordFirstOutput(
    const ServiceId& service, const RunnerChoice& choice, std::chrono::nanoseconds time)
{
    if (const auto it = m_services.find(service); it != m_services.end()) {
        it->second.rate.recordFirstOutput(m_context.clock.now(), choice.tokensAhead, choice.computedTokens, time);
    }
}

} // namespace Pollenwind
