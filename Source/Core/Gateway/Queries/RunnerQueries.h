#pragma once

#include "Gateway/RunnerTypes.h"

#include <optional>
#include <vector>

namespace Pollenwind {

/// Reads what is known about runners.
class RunnerQueries {
public:
    RunnerQueries() = default;
    RunnerQueries(const RunnerQueries&) = delete;
    RunnerQueries& operator=(const RunnerQueries&) = delete;
    virtual ~RunnerQueries() = default;

    /// Runners of a service that may take a request now.
    /// @param model Model that the request asks for, or empty. Runners with weights that are too old are left out.
    virtual std::vector<RunnerCandidate> candidates(const ServiceId& service, const std::string& model) const = 0;

    /// @return A runner's entry while it is on the list.
    virtual std::optional<RunnerEntry> find(const UpstreamId& runner) const = 0;

    /// Entries of all runners on the list, without starts that are known to be over.
    virtual std::vector<RunnerEntry> entries() const = 0;

    /// This VM's own work, by hash of the runner's id.
    virtual std::map<std::uint64_t, RunnerLoad> ownLoads() const = 0;

    /// Failures to tell the other VMs.
    virtual RunnerFailures recentFailures() const = 0;

    /// Requests under way at a runner, as far as the VMs reported them.
    virtual unsigned requestsAt(const UpstreamId& runner) const = 0;

    /// Newest weights that were named, by model.
    virtual const std::map<std::string, WeightsVersion>& targetWeights() const = 0;

    /// Ages of the newest weights that were named, where known.
    virtual std::vector<TargetWeightsAge> targetWeightsAges() const = 0;
};

/// Hash under which VMs name a model to each other.
std::uint64_t modelHash(const std::string& model);

/// Hash under which VMs name a runner to each other.
std::uint64_t runnerHash(const UpstreamId& runner);

} // namespace Pollenwind
