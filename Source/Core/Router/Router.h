#pragma once

#include "Common/Error.h"
#include "Common/Task.h"
#include "Common/TaskFault.h"
#include "Config/Settings.h"
#include "Peer/LinkFaults.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace Pollenwind {

/// One router process: builds the components from the settings and runs their tasks.
class Router {
public:
    /// @param executor Executor of the process's only thread.
    /// @param faults Faults of the peer links, for tests; none if null. It must outlive the router.
    Router(asio::any_io_executor executor, Settings settings, const LinkFaults* faults = nullptr);
    ~Router();
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;

    /// Binds the ports and starts the tasks.
    /// @return An error when a port cannot be bound.
    Outcome<void> start();

    /// Starts a graceful shutdown: announces that the VM is leaving, keeps listening until the load balancer's list is
    /// up to date, then waits until running requests have ended. A second call ends the shutdown at once.
    void requestShutdown();

    /// Waits for the end of a shutdown.
    /// @return Number of requests that were cut.
    Task<std::size_t> waitUntilStopped();

    /// Counts and logs an exception that has left a task.
    void recordTaskFault(TaskKind task, std::string_view cause);

private:
    struct Parts;
    std::unique_ptr<Parts> m_parts;
};

} // namespace Pollenwind
