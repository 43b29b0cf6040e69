#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Dispatch/Commands/AdmissionCommands.h"
#include "Dispatch/ConcurrencyLimit.h"
#include "Metrics/Commands/MetricCommands.h"
#include "Upstream/Queries/UpstreamQueries.h"

#include <map>
#include <set>

namespace Pollenwind {

/// State of a request in an admission queue.
enum class AdmissionState {
    Waiting,
    Admitted,
    Shed,
    Cancelled,
};

template <> struct EnumTable<AdmissionState> {
    static constexpr std::array rows {
        EnumName { AdmissionState::Waiting, "waiting" },
        EnumName { AdmissionState::Admitted, "admitted" },
        EnumName { AdmissionState::Shed, "shed" },
        EnumName { AdmissionState::Cancelled, "cancelled" },
    };
};

/// Limits of an admission queue.
struct AdmissionOptions {
    /// Most requests that may wait for one service. Each keeps its prompt in memory.
    std::size_t capacity = 512;
    std::chrono::nanoseconds longestWait { std::chrono::seconds(5) };
};

/// Admits requests to the engines of each model service through a fair queue and an adaptive concurrency limit.
class AdmissionQueue final : public AdmissionCommands {
public:
    AdmissionQueue(
        const Clock& clock, const UpstreamQueries& upstreams, MetricCommands& metrics, AdmissionOptions options = {});

    Task<Outcome<void>> enter(AdmissionRequest request) override;
    void cancel(const ServiceId& service, const RequestId& request) override;
    void recordFirstToken(const ServiceId& service, std::chrono::nanoseconds latency) override;
    void leave(const ServiceId& service) override;

private:
    struct Waiter;
    struct ServiceState {
        FairQueue queue;
        ConcurrencyLimit limit;
        VersionId version;
        std::size_t running = 0;
        std::map<RequestId, Waiter*> waiters;
    };

    ServiceState& stateOf(const ServiceId& service);
    /// @return Number of requests that may run at the engines of a service at a time.
    std::size_t maxRunningOf(const ServiceId& service, const ServiceState& state) const;
    void admitWaiting(const ServiceId& service, ServiceState& state);
    /// Ends the wait of a request with a result. Ignores requests that are not waiting.
    static void resolveWaiter(ServiceState& state, const RequestId& request, AdmissionState result);

    const Clock& m_clock;
    const UpstreamQueries& m_upstreams;
    MetricCommands& m_metrics;
    AdmissionOptions m_options;
    std::map<ServiceId, ServiceState> m_services;
};

} // namespace Pollenwind
