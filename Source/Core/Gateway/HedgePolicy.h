#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// Decision about a copy of a request whose runner has not responded yet.
enum class HedgeDecision {
    Send,
    /// The route allows no further attempt.
    NoAttempt,
    /// A part of the prompt is quarantined or was lost in a crash, or the request tests such a part.
    Quarantine,
    /// No other runner may take the request.
    NoRunner,
    /// The other runners are too busy.
    RunnerLoad,
    /// Requests of the service were rejected a short time ago.
    Rejections,
    /// The share of the service is used up.
    Share,
    /// The retry budget is exhausted.
    RetryBudget,
};

template <> struct EnumTable<HedgeDecision> {
    static constexpr std::array rows {
        EnumName { HedgeDecision::Send, "send" },
        EnumName { HedgeDecision::NoAttempt, "no-attempt" },
        EnumName { HedgeDecision::Quarantine, "quarantine" },
        EnumName { HedgeDecision::NoRunner, "no-runner" },
        EnumName { HedgeDecision::RunnerLoad, "runner-load" },
        EnumName { HedgeDecision::Rejections, "rejections" },
        EnumName { HedgeDecision::Share, "share" },
        EnumName { HedgeDecision::RetryBudget, "retry-budget" },
    };
};

/// What is known about a request that may be copied.
struct HedgeInputs {
    ServiceId service;
    bool hasAttempt = false;
    bool isQuarantined = false;
    /// Another runner may take the request.
    bool hasRunner = false;
    /// One of these is below HedgePolicy::maxRunnerLoad.
    bool hasFreeRunner = false;
    bool hasRetry = false;
};

/// Decides when a request that may be repeated is copied to a second runner, so that one slow runner does not delay its
/// response.
///
/// Load pattern: a few of the responses are much slower than the others while most runners are idle. The limit on the
/// share of copied requests bounds the extra work in all other patterns, above all when every runner is slow: then each
/// request is late, and copies would only add load.
class HedgePolicy {
public:
    /// Share of its slots up to which a runner gets copies. Above it, a copy is likely to wait as well.
    static constexpr double maxRunnerLoad = 0.75;
    /// Largest share of copied requests that can be set. More copies would be a load of their own.
    static constexpr double maxShare = 0.2;

    /// @param share Share of the requests of a service that may be copied; 0 for none. Limited to maxShare, and 0 if it
    /// is not a number.
    HedgePolicy(const Clock& clock, double share);

    bool isOn() const { return m_share > 0; }

    /// Records a request that may be copied.
    void recordRequest(const ServiceId& service);

    /// Records the time from the sending of a request to the begin of its response. For a request that was cancelled
    /// since its copy was faster, the time that it had taken until then: without it, the quantile would sink with every
    /// copy.
    void recordBegin(const std::string& route, std::chrono::nanoseconds time);

    /// Records that a request of a service was rejected for lack of capacity.
    void recordRejection(const ServiceId& service);

    /// Time without a response after which a request of a route is copied.
    /// @param objective The route's objective.
    /// @return Nothing while too few responses were seen.
    std::optional<std::chrono::nanoseconds> delayFor(const std::string& route, std::chrono::nanoseconds objective);

    /// Tells whether a copy may be sent now, or the first reason against it.
    HedgeDecision decide(const HedgeInputs& inputs) const;

    /// Takes one copy from the share of a service.
    /// @return False if the share is used up.
    bool tryTake(const ServiceId& service);

private:
    struct Sample {
        MonotonicTime at { 0 };
        std::chrono::nanoseconds time { 0 };
    };

    /// Latest times of a route, in a ring.
    struct BeginTimes {
        std::vector<Sample> samples;
        std::size_t next = 0;
        std::optional<std::chrono::nanoseconds> quantile;
        MonotonicTime computedAt { 0 };
    };

    struct ServiceState {
        /// Copies that may be sent.
        double copies = 0;
        std::optional<MonotonicTime> rejectedAt;
    };

    std::optional<std::chrono::nanoseconds> quantileOf(const BeginTimes& times) const;
    void removeUnusedRoutes();

    const Clock& m_clock;
    double m_share;
    std::map<std::string, BeginTimes> m_routes;
    std::map<ServiceId, ServiceState> m_services;
};

} // namespace Pollenwind
