#pragma once

#include "Common/EnumTable.h"
#include "Common/Error.h"
#include "Common/Sleep.h"
#include "Common/Task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <array>
#include <chrono>
#include <exception>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace Pollenwind {

/// What a task does. The names appear in logs.
enum class TaskKind {
    /// Accepts connections or links.
    Listener,
    /// Serves one connection of a client.
    ServerConnection,
    /// Sends one attempt of a request to an upstream.
    Attempt,
    /// Holds the link to one peer.
    PeerLink,
    /// Calls or observes one upstream.
    UpstreamCall,
    /// Follows the platform's store or the configuration.
    StoreSync,
    /// Keeps a record in the platform's store.
    StoreRecord,
    /// Gives orders to runners or drives a move.
    Orders,
    /// Exchanges reports with other VMs.
    Reports,
    /// Calls another VM.
    PeerCall,
    Housekeeping,
    Shutdown,
    /// Part of a load generator or a test of faults.
    Load,
    /// A handler of the io_context that belongs to no known task.
    Handler,
};

template <> struct EnumTable<TaskKind> {
    static constexpr std::array rows {
        EnumName { TaskKind::Listener, "listener" },
        EnumName { TaskKind::ServerConnection, "server-connection" },
        EnumName { TaskKind::Attempt, "attempt" },
        EnumName { TaskKind::PeerLink, "peer-link" },
        EnumName { TaskKind::UpstreamCall, "upstream-call" },
        EnumName { TaskKind::StoreSync, "store-sync" },
        EnumName { TaskKind::StoreRecord, "store-record" },
        EnumName { TaskKind::Orders, "orders" },
        EnumName { TaskKind::Reports, "reports" },
        EnumName { TaskKind::PeerCall, "peer-call" },
        EnumName { TaskKind::Housekeeping, "housekeeping" },
        EnumName { TaskKind::Shutdown, "shutdown" },
        EnumName { TaskKind::Load, "load" },
        EnumName { TaskKind::Handler, "handler" },
    };
};

/// Function that is called with each exception that leaves a task, e.g. to log and count it.
using TaskFaultHandler = std::function<void(TaskKind task, std::string_view cause)>;

/// Sets the function called for exceptions that leave a task. Without one they are written to standard error.
void setTaskFaultHandler(TaskFaultHandler handler);

/// Text of an exception.
std::string describeException(const std::exception_ptr& error);

/// Reports an exception that has left a task.
void reportTaskFault(TaskKind task, const std::exception_ptr& error);

/// Starts a task. An exception ends this task alone and is reported.
void spawnTask(const asio::any_io_executor& executor, TaskKind kind, Task<> task);

/// Starts a task that runs as long as the process. After an exception, which is reported, it is started again.
/// @param start Begins the task.
void spawnService(const asio::any_io_executor& executor, TaskKind kind, std::function<Task<>()> start);

/// Runs a task and turns an exception that leaves it into an Internal error with RunState::Unknown, after reporting it.
template <typename T> Task<Outcome<T>> withoutExceptions(TaskKind kind, Task<Outcome<T>> task)
{
    std::exception_ptr error;
    try {
        co_return co_await std::move(task);
    } catch (...) {
        error = std::current_exception();
    }
    reportTaskFault(kind, error);
    co_return fail(ErrorCode::Internal, describeException(error), RunState::Unknown);
}

/// The same for a task without a result.
Task<Outcome<void>> withoutExceptions(TaskKind kind, Task<> task);

/// Runs a context until it is stopped or has no more work. An exception that leaves a handler is reported; the other
/// handlers go on.
void runContext(asio::io_context& context);

/// Sets a terminate handler that writes the cause to standard error as a JSON object in one line before the process
/// aborts.
void installTerminateHandler();

} // namespace Pollenwind
