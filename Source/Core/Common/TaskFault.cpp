#include "Common/TaskFault.h"

#include <cstdio>
#include <cstdlib>

namespace Pollenwind {

namespace {

    // A task that fails each time it starts must not take the processor from the others.
    constexpr std::chrono::milliseconds restartPause { 500 };

    TaskFaultHandler s_handler;

    /// The text with characters that end a JSON string, or that are not printable, replaced.
    std::string printable(std::string text)
    {
        for (auto& c : text) {
            const bool isPlain = c >= ' ' && c <= '~' && c != '"' && c != '\\';
            c = isPlain ? c : '?';
        }
        return text;
    }

    void writeTerminationCause()
    {
        const auto cause = printable(describeException(std::current_exception()));
        std::fprintf(stderr,
            R"({"level":"error","event":"process-aborted","cause":"%s"})"
            "\n",
            cause.c_str());
        std::abort();
    }

    Task<> runAgainAfterFaults(TaskKind kind, std::function<Task<>()> start)
    {
        while (!co_await withoutExceptions(kind, start())) {
            co_await sleepFor(restartPause);
        }
    }

} // namespace

void setTaskFaultHandler(TaskFaultHandler handler) { s_handler = std::move(handler); }

std::string describeException(const std::exception_ptr& error)
{
    if (!error) {
        return "no exception";
    }
    try {
        std::rethrow_exception(error);
    } catch (const std::exception& ex) {
        return ex.what();
    } catch (...) {
        return "an exception of an unknown type";
    }
}

void reportTaskFault(TaskKind task, const std::exception_ptr& error)
{
    const auto cause = describeException(error);
    if (s_handler) {
        s_handler(task, cause);
        return;
    }
    const auto name = nameOf(task);
    std::fprintf(stderr, "task %.*s failed: %s\n", static_cast<int>(name.size()), name.data(), cause.c_str());
}

void spawnTask(const asio::any_io_executor& executor, TaskKind kind, Task<> task)
{
    asio::co_spawn(executor, std::move(task), [kind](const std::exception_ptr& error) {
        if (error) {
            reportTaskFault(kind, error);
        }
    });
}

void spawnService(const asio::any_io_executor& executor, TaskKind kind, std::function<Task<>()> start)
{
    spawnTask(executor, kind, runAgainAfterFaults(kind, std::move(start)));
}

Task<Outcome<void>> withoutExceptions(TaskKind kind, Task<> task)
{
    std::exception_ptr error;
    try {
        co_await std::move(task);
        co_return Outcome<void> {};
    } catch (...) {
        error = std::current_exception();
    }
    reportTaskFault(kind, error);
    co_return fail(ErrorCode::Internal, describeException(error), RunState::Unknown);
}

void runContext(asio::io_context& context)
{
    for (;;) {
        try {
            context.run();
            return;
        } catch (...) {
            reportTaskFault(TaskKind::Handler, std::current_exception());
        }
    }
}

void installTerminateHandler() { std::set_terminate(writeTerminationCause); }

} // namespace Pollenwind
