#pragma once

#include "Common/Clock.h"
#include "Common/WaitList.h"
#include "Gateway/Commands/QuotaCommands.h"
#include "Gateway/Commands/ReplySink.h"
#include "Gateway/Queries/FreshnessQueries.h"
#include "Gateway/Queries/RoutingQueries.h"
#include "Gateway/RequestLog.h"
#include "Metrics/Commands/MetricCommands.h"

#include <memory>
#include <string>
#include <vector>

namespace Pollenwind {

/// What admission has decided about a request.
struct AdmittedRequest {
    /// Keeps the route and the organisation valid when a newer configuration comes into force.
    std::shared_ptr<const RoutingConfiguration> configuration;
    const RouteRule* route = nullptr;
    const OrganisationRule* organisation = nullptr;
    ServiceId service;
    std::vector<CacheStore> stores;
    /// Time from which the request may be sent.
    MonotonicTime sendAt { 0 };
    /// Whether the request may use the reserve of its organisation, see QuotaReserve.
    bool mayUseReserve = false;
};

/// Decides whether a request is admitted, rejected at once, or waits.
///
/// Load patterns that it answers: callers that reach a VM which has just restarted wait for its first configuration;
/// short peaks of an organisation wait for their tokens, and what comes too late is rejected at once with a time to
/// come back.
class ForwardAdmission {
public:
    /// Dependencies of the admission.
    struct Context {
        const Clock& clock;
        const RoutingQueries& routing;
        const FreshnessQueries& freshness;
        QuotaCommands& quota;
        MetricCommands& metrics;
        RequestLog& log;
    };

    explicit ForwardAdmission(Context context)
        : m_context(context)
    {
    }

    /// Finds the route, the organisation and the service of a request.
    /// @return The decision; Unavailable or KeyUnconfirmed with a time to come back, NoRoute or KeyUnknown.
    Outcome<AdmittedRequest> admit(const ForwardRequest& request);

    /// Takes the tokens of an admitted request from the quota and sets the time from which it may be sent.
    /// @return RateExceeded with a time to come back.
    Outcome<void> takeTokens(const ForwardRequest& request, AdmittedRequest& admitted);

    /// Waits for the first configuration if the process has just started, so that callers which reach it before the
    /// load balancer notices the restart are served.
    Task<> waitForConfiguration(const ForwardRequest& request);

    /// Waits until the tokens of an admitted request are there.
    /// @return The reason if the request is stopped before; KeyUnconfirmed if its key may be out of date after the
    /// wait.
    Task<Outcome<void>> waitForTokens(const AdmittedRequest& admitted, const ForwardRequest& request, ReplySink& sink);

    /// Lets the requests go on that wait for the first configuration.
    void onConfigurationRead() { m_waitingForConfiguration.notifyAll(); }

    /// Longest time that a request may take: the caller's own or the route's, whichever is shorter.
    std::chrono::milliseconds timeoutOf(const ForwardRequest& request) const;

private:
    static bool needsKey(const AdmittedRequest& admitted);
    /// Checks that no withdrawal of the request's key can have been missed.
    Outcome<void> confirmKey(const AdmittedRequest& admitted) const;
    static double spreadOf(const ForwardRequest& request);

    Context m_context;
    WaitList m_waitingForConfiguration;
};

} // namespace Pollenwind
