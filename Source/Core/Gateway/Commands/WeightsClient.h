#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/RunnerTypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace Pollenwind {

/// What a runner reports of itself.
struct RunnerReport {
    std::map<std::string, WeightsVersion> weights;
    /// An order is being carried out.
    bool isBusy = false;
    /// Orders accepted since the runner's start.
    std::int64_t orders = 0;
};

/// Order to load weights.
struct WeightsOrder {
    UpstreamId runner;
    Endpoint endpoint;
    std::string model;
    WeightsVersion version = 0;
    /// The VM that gives the order.
    VmId holder;
    /// Rises with each new holder.
    std::int64_t fencingToken = 0;
    /// Orders that the runner must have accepted before, so that a late order does not follow a newer one.
    std::int64_t expectedOrders = 0;
};

/// Gives orders to runners.
class WeightsClient {
public:
    WeightsClient() = default;
    WeightsClient(const WeightsClient&) = delete;
    WeightsClient& operator=(const WeightsClient&) = delete;
    virtual ~WeightsClient() = default;

    virtual Task<Outcome<RunnerReport>> report(Endpoint endpoint, std::chrono::nanoseconds timeout) = 0;

    /// Orders a load; requests that still run go on with the new weights.
    /// @return Nothing when the order is accepted or already holds; Conflict when another order came first.
    virtual Task<Outcome<void>> load(WeightsOrder order, std::chrono::nanoseconds timeout) = 0;
};

} // namespace Pollenwind
