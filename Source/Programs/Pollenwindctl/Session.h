#pragma once

#include "Pollenwindctl/AdminClient.h"
#include "Pollenwindctl/ExitCode.h"

#include <chrono>
#include <functional>
#include <istream>
#include <ostream>
#include <vector>

namespace Pollenwind::Ctl {

/// What a subcommand works with. All references must outlive it.
struct Session {
    AdminClient& client;
    std::vector<Endpoint> routers;
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    /// Longest time that a command waits until all live VMs confirm.
    std::chrono::milliseconds confirmLimit { 10'000 };
    /// Time between two rounds of questions to the VMs.
    std::chrono::milliseconds confirmInterval { 200 };
};

/// Answer of one router.
struct RouterResponse {
    Endpoint router;
    Outcome<Json> response;
};

/// Runs a query at all routers at the same time, one task for each.
/// @return One answer for each router, in the order of the routers.
Task<std::vector<RouterResponse>> queryAll(Session& session, std::vector<Endpoint> routers, std::string query);

/// Runs a query at the first router that answers.
Task<Outcome<Json>> queryAny(Session& session, std::string query);

/// Sends a command that may be repeated safely (it carries an id, or its effect is the same when repeated) until one
/// router answers for certain.
/// @return The answer, the router's refusal, or the last error when no router answered.
Task<Outcome<Json>> postWithFailover(Session& session, std::string command, Json body);

/// Name recorded with changes: the environment's USER.
std::string operatorName();

/// Prints "CODE: message" with the run state where it is not known that nothing ran.
void printError(Session& session, std::string_view what, const Error& error);

} // namespace Pollenwind::Ctl
