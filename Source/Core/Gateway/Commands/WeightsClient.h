#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/RunnerTypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Pollenwind {

/// State that a runner reports about itself.
struct RunnerReport {
    std::map<std::string, WeightsVersion> weights;
    /// Whether an order is being carried out.
    bool isBusy = false;
    /// Orders accepted since the runner started.
    std::int64_t orders = 0;
    /// Process that reports; 0 if the report does not tell it.
    Incarnation incarnation;
    /// The runner shuts down.
    bool isLeaving = false;
};

/// Order to a runner to load one version of a model's weights.
struct WeightsOrder {
    UpstreamId runner;
    Endpoint endpoint;
    std::string model;
    WeightsVersion version = 0;
    /// The VM that gives the order.
    VmId holder;
    /// Increases with each new holder of the order lease.
    std::int64_t fencingToken = 0;
    /// Number of orders that the runner must have accepted before this one, so that a delayed order is rejected after a
    /// newer one.
    std::int64_t expectedOrders = 0;
};

/// Gives orders to runners.
class WeightsClient {
public:
    WeightsClient() = default;
    WeightsClient(const WeightsClient&) = delete;
    WeightsClient& operator=(const WeightsClient&) = delete;
    virtual ~WeightsClient() = default;

    /// Requests a runner's report.
    virtual Task<Outcome<RunnerReport>> report(Endpoint endpoint, std::chrono::nanoseconds timeout) = 0;

    /// Orders a load. Requests that are running continue with the new weights.
    /// @return Nothing if the order was accepted or is already fulfilled; Conflict if another order came first.
    virtual Task<Outcome<void>> load(WeightsOrder order, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
