#include "Common/TaskFault.h"

#include <boost/asio/post.hpp>

#include <criterion/criterion.h>

#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace Pollenwind;
using namespace std::chrono_literals;

namespace {

/// Collects what is reported.
struct FaultFixture {
    FaultFixture()
    {
        setTaskFaultHandler([this](TaskKind task, std::string_view cause) { faults.emplace_back(task, cause); });
    }
    ~FaultFixture() { setTaskFaultHandler({}); }
    FaultFixture(const FaultFixture&) = delete;
    FaultFixture& operator=(const FaultFixture&) = delete;

    /// Throws unless it is called often enough.
    Task<> failOnce()
    {
        co_await sleepFor(1ms);
        if (++runs == 1) {
            throw std::runtime_error("broken");
        }
    }

    Task<Outcome<int>> failWithResult()
    {
        co_await sleepFor(1ms);
        throw std::length_error("too long");
    }

    asio::io_context context { 1 };
    std::vector<std::pair<TaskKind, std::string>> faults;
    unsigned runs = 0;
};

} // namespace

// Guards against exceptions that end a task without a trace.
Test(TaskFault, reportsTheExceptionOfATask)
{
    FaultFixture fixture;
    spawnTask(fixture.context.get_executor(), TaskKind::PeerLink, fixture.failOnce());
    runContext(fixture.context);
    cr_assert_eq(fixture.faults.size(), 1);
    cr_assert(fixture.faults[0] == std::pair(TaskKind::PeerLink, std::string("broken")));
}

// Guards against a process that goes on without one of its services.
Test(TaskFault, startsAServiceAgain)
{
    FaultFixture fixture;
    spawnService(fixture.context.get_executor(), TaskKind::StoreSync, [&] { return fixture.failOnce(); });
    runContext(fixture.context);
    cr_assert_eq(fixture.runs, 2);
    cr_assert_eq(fixture.faults.size(), 1);
}

// A caller of the task must learn that what it began may have been executed.
Test(TaskFault, turnsAnExceptionIntoAnError)
{
    FaultFixture fixture;
    std::optional<Outcome<int>> result;
    asio::co_spawn(fixture.context, withoutExceptions(TaskKind::Attempt, fixture.failWithResult()),
        [&](const std::exception_ptr& error, Outcome<int> value) {
            cr_assert(!error);
            result = std::move(value);
        });
    runContext(fixture.context);
    cr_assert(result && !*result);
    cr_assert(result->error().code == ErrorCode::Internal && result->error().runState == RunState::Unknown);
    cr_assert_eq(result->error().message, "too long");
    cr_assert_eq(fixture.faults.size(), 1);
}

// Guards against a handler that ends the process with all requests on it.
Test(TaskFault, runsTheOtherHandlersAfterOneThrew)
{
    FaultFixture fixture;
    bool isRun = false;
    asio::post(fixture.context, [] { throw 7; });
    asio::post(fixture.context, [&] { isRun = true; });
    runContext(fixture.context);
    cr_assert(isRun);
    cr_assert_eq(fixture.faults.size(), 1);
    cr_assert(fixture.faults[0] == std::pair(TaskKind::Handler, std::string("an exception of an unknown type")));
}

// Guards against a process that aborts without the cause on standard error.
Test(TaskFault, writesTheCauseOfATermination)
{
    std::array<int, 2> ends {};
    cr_assert_eq(pipe(ends.data()), 0);
    const auto child = fork();
    if (child == 0) {
        dup2(ends[1], STDERR_FILENO);
        installTerminateHandler();
        std::thread([] { throw std::runtime_error("a \"quoted\" cause"); }).join();
    }
    close(ends[1]);
    std::string text;
    std::array<char, 256> buf {};
    for (ssize_t n = 0; (n = read(ends[0], buf.data(), buf.size())) > 0;) {
        text.append(buf.data(), static_cast<std::size_t>(n));
    }
    int status = 0;
    waitpid(child, &status, 0);
    cr_assert(WIFSIGNALED(status) && WTERMSIG(status) == SIGABRT);
    cr_assert(text.starts_with(R"({"level":"error","event":"process-aborted","cause":"a ?quoted? cause"})"), "%s",
        text.c_str());
}
