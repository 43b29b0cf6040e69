#pragma once

#include "Common/Borrowable.h"
#include "Common/Clock.h"
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

/// State of a runner according to its entry in the store.
enum class RunnerState {
    Ready,
    /// Shutting down: it finishes its running requests and gets no new ones.
    Draining,
    /// Its entry has ended.
    Gone,
};

template <> struct EnumTable<RunnerState> {
    static constexpr std::array rows {
        EnumName { RunnerState::Ready, "ready" },
        EnumName { RunnerState::Draining, "draining" },
        EnumName { RunnerState::Gone, "gone" },
    };
};

/// Version of a model's weights; increases from 1.
using WeightsVersion = std::int64_t;

/// A runner, the process that executes the requests of a service, as its entry in the store describes it.
struct RunnerEntry {
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    ZoneId zone;
    /// Version of the runner's software.
    VersionId software;
    /// Differs between two processes that use the same id one after the other.
    Incarnation incarnation;
    /// Requests that the runner executes at the same time.
    unsigned slots = 1;
    RunnerState state = RunnerState::Ready;
    /// Loaded weights by model.
    std::map<std::string, WeightsVersion> weights;
    /// Time for which the runner is still cold, if the entry tells it.
    std::optional<std::chrono::milliseconds> coldTime;
    /// When the process started, if the entry tells it.
    std::optional<WallTime> startedAt;
    /// Position of the entry in the store; 0 if it is not known.
    std::int64_t revision = 0;
};

/// What the end of one request says about the runner.
enum class RunnerResult {
    Succeeded,
    /// The runner refused the request without running it.
    Refused,
    Failed,
    /// Ended for a reason other than the runner's state, e.g. because the caller disconnected.
    Abandoned,
};

template <> struct EnumTable<RunnerResult> {
    static constexpr std::array rows {
        EnumName { RunnerResult::Succeeded, "succeeded" },
        EnumName { RunnerResult::Refused, "refused" },
        EnumName { RunnerResult::Failed, "failed" },
        EnumName { RunnerResult::Abandoned, "abandoned" },
    };
};

/// Whether the requests of a route yield to more urgent ones of the same service; see isYieldingRoute().
enum class RouteUrgency {
    Urgent,
    Yielding,
};

template <> struct EnumTable<RouteUrgency> {
    static constexpr std::array rows {
        EnumName { RouteUrgency::Urgent, "urgent" },
        EnumName { RouteUrgency::Yielding, "yielding" },
    };
};

/// Work in progress at a runner.
struct RunnerLoad {
    unsigned requests = 0;
    /// Prompt tokens of requests without output so far, excluding tokens that are expected to be cached.
    double waitingTokens = 0;
    /// Requests of routes that do not yield.
    unsigned urgentRequests = 0;
    /// Part of the waiting tokens that is of yielding routes.
    double yieldingTokens = 0;

    bool operator==(const RunnerLoad&) const = default;
};

/// How a VM learned of a change in the store.
enum class ChangeSource {
    /// As one of the events that follow what the VM already knows.
    Event,
    /// As an event that arrived after a lost or late answer. It may be as old as the last answer before.
    LateEvent,
    /// By reading the current records, which do not show the versions in between.
    Read,
};

template <> struct EnumTable<ChangeSource> {
    static constexpr std::array rows {
        EnumName { ChangeSource::Event, "event" },
        EnumName { ChangeSource::LateEvent, "late-event" },
        EnumName { ChangeSource::Read, "read" },
    };
};

/// How long ago the operator set a target version of a model's weights.
struct TargetWeightsAge {
    /// Hash of the model's name.
    std::uint64_t model = 0;
    WeightsVersion version = 0;
    std::chrono::milliseconds age { 0 };
};

/// Weights that a runner has just loaded. Its entry in the store shows them with the next heartbeat.
struct LoadedWeights {
    /// Hash of the runner's id.
    std::uint64_t runner = 0;
    /// Hash of the model's name.
    std::uint64_t model = 0;
    WeightsVersion version = 0;

    bool operator==(const LoadedWeights&) const = default;
};

/// How a VM learned that a runner shuts down.
enum class LeavingSource {
    /// The runner's response to a request.
    Response,
    /// The runner's report about itself.
    RunnerReport,
    /// Another VM's report. It is a hint: the runner is used if there is no other.
    OtherVm,
};

template <> struct EnumTable<LeavingSource> {
    static constexpr std::array rows {
        EnumName { LeavingSource::Response, "response" },
        EnumName { LeavingSource::RunnerReport, "runner-report" },
        EnumName { LeavingSource::OtherVm, "vm-report" },
    };
};

/// A runner process that has announced its shutdown.
struct LeavingRunner {
    /// Hash of the runner's id and incarnation; see holderHash().
    std::uint64_t process = 0;
    /// Time since the runner announced it.
    std::chrono::milliseconds age { 0 };

    bool operator==(const LeavingRunner&) const = default;
};

/// Recent failures and announced shutdowns of runners that one VM observed.
struct RunnerFailures {
    /// Runners to which the VM could not connect, by hash of id.
    std::vector<std::uint64_t> unreachable;
    /// Runner processes at whose addresses another process answered, by hash of id and incarnation; see holderHash().
    std::vector<std::uint64_t> replaced;
    std::vector<LeavingRunner> leaving = {};

    bool isEmpty() const { return unreachable.empty() && replaced.empty() && leaving.empty(); }
    bool operator==(const RunnerFailures&) const = default;
};

/// Number of runners that want no requests, or few, at present by their own words.
struct UnwillingRunners {
    unsigned leaving = 0;
    unsigned inBackOff = 0;
    /// Runners that have just started or say that they are cold.
    unsigned cold = 0;
};

/// A runner that may take a request now. Candidates of the runner table refer to its entries: they are valid until the
/// table changes, so a coroutine does not keep them while it is suspended. RunnerChoice owns its data.
struct RunnerCandidate {
    Borrowable<UpstreamId> id;
    Borrowable<Endpoint> endpoint;
    Borrowable<ZoneId> zone;
    Incarnation incarnation;
    unsigned slots = 1;
    /// Version of the runner's software.
    Borrowable<VersionId> software;
    WeightsVersion weights = 0;
    /// Time by which a request must begin on these weights; nothing while no newer target is known.
    std::optional<MonotonicTime> beginBy;
    /// Work from this VM and from the other VMs as they last reported it.
    RunnerLoad load;
    /// Share of its full load that the circuit breaker admits, from 0 to 1. Below 1 after failures.
    double admission = 1;
    /// The runner can handle few requests. It is a candidate only if there is no warm one.
    bool isCold = false;
    /// Whether the engine computes the prompts of yielding routes; see PromptPool.
    bool isInPromptPool = false;
    /// See runnerHash(); 0 if it has to be computed.
    std::uint64_t hash = 0;
    /// See holderHash(); 0 if it has to be computed.
    std::uint64_t process = 0;
};

} // namespace Pollenwind
