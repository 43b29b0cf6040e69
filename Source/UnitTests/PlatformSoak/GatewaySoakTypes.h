#pragma once

#include "Common/EnumTable.h"
#include "Soak/Queries/SoakReport.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Pollenwind {

/// Faults that a gateway soak injects.
enum class GatewayFault {
    GatewayKilled,
    GatewayStopped,
    GatewayPaused,
    /// All gateways are killed at the same time.
    GatewayHerdKilled,
    StoreLinkDelayed,
    StoreLinkRefusing,
    StoreLinkSilent,
    StoreLinkCutToServer,
    StoreLinkCutToClient,
    StoreRefuses,
    StoreSlow,
    StoreLosesAnswer,
    /// The store compacts its history, so that watches cannot resume from an earlier revision.
    StoreForgetsHistory,
    /// The store revokes all leases.
    StoreEndsLeases,
    /// The store comes back from an older copy, once or twice; the operator and the runners write again what is
    /// missing.
    StoreRestored,
    RunnerLinkDelayed,
    RunnerLinkReset,
    RunnerLinkSilent,
    RunnerLinkCutToServer,
    RunnerLinkCutToClient,
    /// A runner announces its shutdown in its responses and restarts under a new id; its old entry expires later.
    RunnerReplaced,
    RunnerRefuses,
    /// A runner writes earlier refusals once more on kept connections.
    RunnerRepeatsRefusals,
    RunnerFails,
    RunnerLosesAnswers,
    RunnerBreaksStreams,
    RunnerSlow,
    ConfigurationChanged,
    KeyWithdrawn,
    /// A new target version of the weights is set.
    WeightsNamed,
    /// Requests with one part of the prompt crash each runner that begins an answer on them.
    CrashingPart,
};

template <> struct EnumTable<GatewayFault> {
    static constexpr std::array rows {
        EnumName { GatewayFault::GatewayKilled, "gateway-killed" },
        EnumName { GatewayFault::GatewayStopped, "gateway-stopped" },
        EnumName { GatewayFault::GatewayPaused, "gateway-paused" },
        EnumName { GatewayFault::GatewayHerdKilled, "gateway-herd-killed" },
        EnumName { GatewayFault::StoreLinkDelayed, "store-link-delayed" },
        EnumName { GatewayFault::StoreLinkRefusing, "store-link-refusing" },
        EnumName { GatewayFault::StoreLinkSilent, "store-link-silent" },
        EnumName { GatewayFault::StoreLinkCutToServer, "store-link-cut-to-server" },
        EnumName { GatewayFault::StoreLinkCutToClient, "store-link-cut-to-client" },
        EnumName { GatewayFault::StoreRefuses, "store-refuses" },
        EnumName { GatewayFault::StoreSlow, "store-slow" },
        EnumName { GatewayFault::StoreLosesAnswer, "store-loses-answer" },
        EnumName { GatewayFault::StoreForgetsHistory, "store-forgets-history" },
        EnumName { GatewayFault::StoreEndsLeases, "store-ends-leases" },
        EnumName { GatewayFault::StoreRestored, "store-restored" },
        EnumName { GatewayFault::RunnerLinkDelayed, "runner-link-delayed" },
        EnumName { GatewayFault::RunnerLinkReset, "runner-link-reset" },
        EnumName { GatewayFault::RunnerLinkSilent, "runner-link-silent" },
        EnumName { GatewayFault::RunnerLinkCutToServer, "runner-link-cut-to-server" },
        EnumName { GatewayFault::RunnerLinkCutToClient, "runner-link-cut-to-client" },
        EnumName { GatewayFault::RunnerReplaced, "runner-replaced" },
        EnumName { GatewayFault::RunnerRefuses, "runner-refuses" },
        EnumName { GatewayFault::RunnerRepeatsRefusals, "runner-repeats-refusals" },
        EnumName { GatewayFault::RunnerFails, "runner-fails" },
        EnumName { GatewayFault::RunnerLosesAnswers, "runner-loses-answers" },
        EnumName { GatewayFault::RunnerBreaksStreams, "runner-breaks-streams" },
        EnumName { GatewayFault::RunnerSlow, "runner-slow" },
        EnumName { GatewayFault::ConfigurationChanged, "configuration-changed" },
        EnumName { GatewayFault::KeyWithdrawn, "key-withdrawn" },
        EnumName { GatewayFault::WeightsNamed, "weights-named" },
        EnumName { GatewayFault::CrashingPart, "crashing-part" },
    };
};

/// Guarantees that a gateway soak checks through the external interfaces of the gateway.
enum class GatewayGuarantee {
    ResponsesMatchRequests,
    StreamsComplete,
    RunAtMostOnce,
    NotRunIsTrue,
    RequestsUnchanged,
    WithdrawnKeysStop,
    ConfigurationNeverReverts,
    ResponsesAreDelivered,
    IdlePromisesAreKept,
    OneVmGivesOrders,
    CrashingPartsStop,
    SoundRequestsAreServed,
    LeavingRunnersAreLeft,
    RefusalTimesAreKept,
    RestoresEndSoon,
    EvacuationsAreKept,
    Recovers,
};

template <> struct EnumTable<GatewayGuarantee> {
    static constexpr std::array rows {
        EnumName {
            GatewayGuarantee::ResponsesMatchRequests, "a caller receives the complete response to its own request" },
        EnumName { GatewayGuarantee::StreamsComplete, "a stream ends as complete only with every event, in order" },
        EnumName { GatewayGuarantee::RunAtMostOnce, "a request that may not be repeated runs at most once" },
        EnumName { GatewayGuarantee::NotRunIsTrue, "a request that was refused as not run did not run" },
        EnumName { GatewayGuarantee::RequestsUnchanged, "runners receive known requests, unchanged, without the key" },
        EnumName { GatewayGuarantee::WithdrawnKeysStop, "a withdrawn key stops within 5 s" },
        EnumName { GatewayGuarantee::ConfigurationNeverReverts, "a process never reverts to an older configuration" },
        EnumName { GatewayGuarantee::ResponsesAreDelivered,
            "a response of a healthy runner over a healthy link is delivered" },
        EnumName { GatewayGuarantee::IdlePromisesAreKept,
            "a VM that was not killed keeps an idle connection for the announced time and answers a request on it" },
        EnumName { GatewayGuarantee::OneVmGivesOrders, "orders of two VMs to one runner are at least 3 s apart" },
        EnumName { GatewayGuarantee::CrashingPartsStop,
            "at most 3 requests with a part that crashes runners reach runners later than 3 s after the fifth crash" },
        EnumName { GatewayGuarantee::SoundRequestsAreServed,
            "sound requests with the first part of those that crash runners are served" },
        EnumName { GatewayGuarantee::LeavingRunnersAreLeft,
            "a VM sends nothing to a runner 2 s after the runner told it that it leaves" },
        EnumName {
            GatewayGuarantee::RefusalTimesAreKept, "a VM sends at most two requests in the time that a refusal names" },
        EnumName { GatewayGuarantee::RestoresEndSoon,
            "a VM without other faults serves 2 s after the store is back from an older copy" },
        EnumName { GatewayGuarantee::EvacuationsAreKept,
            "an undisturbed VM sends nothing to an evacuated zone 5 s after the evacuation" },
        EnumName {
            GatewayGuarantee::Recovers, "after the faults every VM serves and every runner has the new weights" },
    };
};

/// Parameters of a soak run.
struct GatewaySoakOptions {
    std::uint64_t seed = 1;
    std::chrono::seconds duration { 40 };
    std::string program;
    std::string folder;
    std::size_t gateways = 5;
    std::size_t runners = 6;
    std::size_t callers = 24;
    /// Mean time between the starts of two faults.
    std::chrono::milliseconds faultInterval { 600 };
    /// Faults to inject.
    std::vector<GatewayFault> faults;
};

/// Checks, faults and counters of a run.
struct GatewaySoakReport {
    std::map<GatewayGuarantee, GuaranteeTally> guarantees;
    std::map<GatewayFault, std::uint64_t> faults;
    std::map<int, std::uint64_t> responsesByStatus;
    std::uint64_t requests = 0;
    std::uint64_t connectionsLost = 0;
    /// Time at which a paused process was last resumed, by VM. Messages that it was about to send arrive then.
    std::map<std::string, std::chrono::steady_clock::time_point> resumedAt;

    /// Records one check of a guarantee.
    /// @param example Description of the violation, recorded if the check failed.
    void recordCheck(GatewayGuarantee guarantee, bool holds, const std::string& example)
    {
        auto& tally = guarantees[guarantee];
        ++tally.checks;
        if (!holds) {
            ++tally.violations;
            tally.examples.push_back(example);
        }
    }
};

} // namespace Pollenwind
