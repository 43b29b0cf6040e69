#include "Pollenwindctl/Session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

#include <cstdlib>

namespace Pollenwind::Ctl {

Task<std::vector<RouterResponse>> queryAll(Session& session, std::vector<Endpoint> routers, std::string query)
{
    const auto executor = co_await asio::this_coro::executor;
    std::vector<RouterResponse> responses;
    for (const auto& router : routers) {
        responses.push_back({ router, fail(ErrorCode::Cancelled, "not queried") });
    }
    std::size_t pending = routers.size();
    asio::steady_timer done(executor, asio::steady_timer::time_point::max());
    for (std::size_t i = 0; i < routers.size(); ++i) {
        asio::co_spawn(executor, session.client.get(routers[i], query),
            [&responses, &pending, &done, i](const std::exception_ptr& ex, Outcome<Json> response) {
                responses[i].response = ex ? fail(ErrorCode::Internal, "the query failed") : std::move(response);
                if (--pending == 0) {
                    done.cancel();
                }
            });
    }
    while (pending > 0) {
        co_await done.async_wait(asTuple);
    }
    co_return responses;
}

Task<Outcome<Json>> queryAny(Session& session, std::string query)
{
    Outcome<Json> last = fail(ErrorCode::NotFound, "no router is given");
    for (const auto& router : session.routers) {
        last = co_await session.client.get(router, query);
        if (last || !shouldTryAnotherRouter(last.error())) {
            co_return last;
        }
    }
    co_return last;
}

Task<Outcome<Json>> postWithFailover(Session& session, std::string command, Json body)
{
    Outcome<Json> last = fail(ErrorCode::NotFound, "no router is given");
    RunState run = RunState::NotRun;
    for (const auto& router : session.routers) {
        last = co_await session.client.post(router, command, body);
        if (last || !shouldTryAnotherRouter(last.error())) {
            co_return last;
        }
        // After one lost response the outcome is unknown, even if no later router could be reached.
        if (last.error().runState != RunState::NotRun) {
            run = RunState::Unknown;
        }
        last.error().message = router.toString() + ": " + last.error().message;
        last.error().runState = run;
    }
    co_return last;
}

std::string operatorName()
{
    const char* name = std::getenv("USER");
    return name ? name : "unknown";
}

void printError(Session& session, std::string_view what, const Error& error)
{
    session.err << what << ": " << nameOf(error.code) << ": " << error.message;
    if (error.runState != RunState::NotRun) {
        session.err << " (whether it took effect is unknown)";
    }
    session.err << "\n";
}

} // namespace Pollenwind::Ctl
