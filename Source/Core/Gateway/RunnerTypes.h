#pragma once

#include "Common/Clock.h"
#include "Common/EnumTable.h"
#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Pollenwind {

/// State of a runner in the platform's list.
enum class RunnerState {
    Ready,
    /// Leaving: it finishes what it has and gets no new request.
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

/// Version of a model's weights; counts up from 1.
using WeightsVersion = std::int64_t;

/// A runner as its entry in the platform's list describes it.
struct RunnerEntry {
    UpstreamId id;
    ServiceId service;
    Endpoint endpoint;
    ZoneId zone;
    /// Version of its software.
    VersionId software;
    /// Tells two starts under one id apart.
    Incarnation incarnation;
    unsigned slots = 1;
    RunnerState state = RunnerState::Ready;
    std::map<std::string, WeightsVersion> weights;
};

/// How one request at a runner ended, as far as the runner is concerned.
enum class RunnerResult {
    Succeeded,
    /// The runner refused the request without running it.
    Refused,
    Failed,
    /// Ended for a reason that is not the runner's, e.g. because the caller left.
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

/// Work that is under way at a runner.
struct RunnerLoad {
    unsigned requests = 0;
    /// Prompt tokens of requests that have not produced anything yet, without those believed cached.
    double waitingTokens = 0;

    bool operator==(const RunnerLoad&) const = default;
};

/// How long ago weights were named.
struct TargetWeightsAge {
    /// Hash of the model's name.
    std::uint64_t model = 0;
    WeightsVersion version = 0;
    std::chrono::milliseconds age { 0 };
};

/// Weights that a runner has just loaded; its entry tells them a heartbeat later.
struct LoadedWeights {
    /// Hash of the runner's id.
    std::uint64_t runner = 0;
    /// Hash of the model's name.
    std::uint64_t model = 0;
    WeightsVersion version = 0;

    bool operator==(const LoadedWeights&) const = default;
};

/// Runners that VMs lately found not to serve.
struct RunnerFailures {
    /// Runners to which the VM could not connect, by hash of id.
    std::vector<std::uint64_t> unreachable;
    /// Processes of runners at whose addresses another process answered, by hash of id and start.
    std::vector<std::uint64_t> replaced;

    bool isEmpty() const { return unreachable.empty() && replaced.empty(); }
    bool operator==(const RunnerFailures&) const = default;
};

/// A runner that may take a request now.
struct RunnerCandidate {
    UpstreamId id;
    Endpoint endpoint;
    ZoneId zone;
    Incarnation incarnation;
    unsigned slots = 1;
    WeightsVersion weights = 0;
    /// Work sent by all VMs, the other VMs' as they last reported it.
    RunnerLoad load;
    /// Share of full work that the runner may get, from 0 to 1. Below 1 after failures.
    double admission = 1;
};

} // namespace Pollenwind
