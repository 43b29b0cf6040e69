#pragma once

#include "Pollenwindctl/Session.h"

#include <functional>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Tells whether a change is in force, from a router's answer to a query.
using ConfirmPredicate = std::function<bool(const Json& response)>;

/// Asks all live VMs until each confirms or the session's limit has passed, then prints "in force on N of M" and the
/// VMs that did not confirm with the reason. The live VMs are those of the routers' `members` query; where no router
/// offers it, the configured routers.
/// @param query The query that shows the change.
/// @return Done when every live VM confirmed.
Task<ExitCode> waitUntilInForce(Session& session, std::string query, ConfirmPredicate isInForce);

} // namespace Pollenwind::Ctl
