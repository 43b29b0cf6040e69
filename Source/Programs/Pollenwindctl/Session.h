#pragma once

#include "Pollenwindctl/AdminClient.h"
#include "Pollenwindctl/ExitCode.h"

#include <chrono>
#include <functional>
#include <istream>
#include <ostream>
#include <vector>

namespace Pollenwind::Ctl {

/// Context in which a subcommand runs. The referenced objects must outlive it.
struct Session {
    AdminClient& client;
    std::vector<Endpoint> routers;
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// Maximum time that a command waits for the confirmations of all live VMs.
    std::chrono::milliseconds confirmLimit { 10'000 };
    /// Interval at which the VMs are polled for confirmation.
    std::chrono::milliseconds confirmInterval { 200 };
};

/// Response of one router to a query.
struct RouterResponse {
    Endpoint router;
    Outcome<Json> response;
};

/// Runs a query at all routers concurrently, one task for each.
/// @return One response for each router, in the order of the routers.
Task<std::vector<RouterResponse>> queryAll(Session& session, std::vector<Endpoint> routers, std::string query);

/// Runs a query at one router after the other until one returns a definite result; see shouldTryAnotherRouter().
Task<Outcome<Json>> queryAny(Session& session, std::string query);

/// Sends an idempotent command (it carries a change id, or repeating it has no further effect) to one router after the
/// other until one returns a definite result.
/// @return The response, the error of the router that refused the command, or the last error when none gave a definite
/// result. Its run state is Unknown if any attempt may have taken effect.
Task<Outcome<Json>> postWithFailover(Session& session, std::string command, Json body);

/// Operator name that is recorded with changes: the environment variable USER.
std::string operatorName();

/// Prints "WHAT: CODE: message", and a hint if the call may have taken effect.
void printError(Session& session, std::string_view what, const Error& error);

} // namespace Pollenwind::Ctl
