#pragma once

#include "Common/Clock.h"
#include "Gateway/EngineRate.h"
#include "Gateway/FairShares.h"
#include "Gateway/LoadAdmission.h"
#include "Gateway/PromptPool.h"
#include "Gateway/PromptPoolSize.h"
#include "Gateway/Queries/RunnerPolicy.h"
#include "Gateway/ReturnOrder.h"
#include "Gateway/RoutingTypes.h"
#include "Gateway/RunnerTypes.h"
#include "Metrics/Commands/MetricCommands.h"

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace Pollenwind {

/// Applies the decisions under load to the requests of services with an engine and a yielding route. Requests of other
/// services pass unchanged.
class EngineAdmission {
public:
    /// Dependencies of the admission.
    struct Context {
        const Clock& clock;
        MetricCommands& metrics;
        /// See LoadSettings.
        unsigned yieldRanks = 0;
    };

    explicit EngineAdmission(Context context)
        : m_context(context)
    {
    }

    /// Limits the engines of a yielding request to the prompt pool, and marks the pool's members for the others.
    /// @param candidates Engines of the service that may take a request, also those that this one has tried, so that
    ///     retries see the same pool.
    void applyPool(const RoutingConfiguration& configuration, const ServiceId& service, RouteUrgency urgency,
        std::vector<RunnerCandidate>& candidates);

    /// Checks whether a request can be served in time.
    /// @param demand What the request needs.
    /// @param candidates Engines that it may use.
    /// @return Unavailable with a time to come back if it cannot.
    Outcome<void> check(const RoutingConfiguration& configuration, const ServiceId& service, const RequestId& request,
        const EngineDemand& demand, std::span<const RunnerCandidate> candidates);
    /// Counts a request that passed the check and is sent in the share of its organisation. Called when its quota has
    /// admitted it as well.
    void recordAdmitted(const ServiceId& service, const EngineDemand& demand);

    /// Whether any route of a configuration yields.
    bool hasYieldingRoute(const RoutingConfiguration& configuration);

    /// Takes back a request that passed the check and is refused for another reason, such as the quota.
    void withdraw(const ServiceId& service, const EngineDemand& demand);

    /// Sets the share of the fleet, from 0 to 1, whose work at the engines this VM knows.
    void setKnownWorkShare(double share) { m_knownWorkShare = std::max(share, smallestKnownShare); }

    /// Records the first output of a yielding request.
    /// @param choice Engine that computed its prompt.
    /// @param time Time from the choice of the engine.
    void recordFirstOutput(const ServiceId& service, const RunnerChoice& choice, std::chrono::nanoseconds time);

private:
    /// What is known of a service with an engine to which a yielding route leads.
    struct ServiceState {
        EngineRate rate;
        FairShares shares;
        ReturnOrder returns;
        PromptPoolSize poolSize;
    };

    /// State of a service; nullptr if none of its routes yields.
    ServiceState* find(const RoutingConfiguration& configuration, const ServiceId& service);
    /// Tokens with which a request counts in the fair shares; nothing if it does not yield or no rate was learnt.
    std::optional<double> sharedTokens(const ServiceState& state, const EngineDemand& demand) const;
    /// Keeps the services with a yielding route in the configuration.
    void adopt(const RoutingConfiguration& configuration);

    /// Smallest share of the fleet from which the work of all is estimated: one zone of eight.
    static constexpr double smallestKnownShare = 0.125;

    Context m_context;
    double m_knownWorkShare = 1;
    /// Newest version of the configuration that was seen.
    std::int64_t m_configuration = -1;
    std::map<ServiceId, ServiceState> m_services;
};

} // namespace Pollenwind
