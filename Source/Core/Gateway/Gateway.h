#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Gateway/Commands/WeightsClient.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/Queries/ForwardCodec.h"
#include "Gateway/Queries/RecordCodec.h"
#include "Metrics/MetricTable.h"
#include "Store/Commands/StoreCommands.h"
#include "Store/Queries/StoreQueries.h"

#include <memory>

namespace Pollenwind {

/// Interfaces to the platform: its store, its encodings and its runners. The objects must outlive the gateway.
struct GatewayPlatform {
    StoreQueries& storeQueries;
    StoreCommands& storeCommands;
    const RecordCodec& records;
    const ForwardCodec& requests;
    WeightsClient& weights;
};

/// One gateway process: accepts callers on an entry VM and forwards their requests to runners. Creates the components
/// from the settings and runs their tasks.
class Gateway {
public:
    Gateway(asio::any_io_executor executor, GatewaySettings settings, GatewayPlatform platform, MetricTable& metrics);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    /// Binds the ports and starts the tasks.
    /// @return An error when a port cannot be bound.
    Outcome<void> start();

    /// Starts a graceful shutdown. Further calls have no effect.
    void requestShutdown();

    /// Waits for the end of a shutdown.
    /// @return Number of requests that were still running and are aborted.
    Task<std::size_t> waitUntilStopped();

private:
    struct Components;
    std::unique_ptr<Components> m_components;
};

} // namespace Pollenwind
