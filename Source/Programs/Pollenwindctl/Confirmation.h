#pragma once

#include "Pollenwindctl/Session.h"

#include <functional>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Returns whether a change is in force, given a router's response to a query.
using ConfirmPredicate = std::function<bool(const Json& response)>;

/// Polls all live VMs until each confirms a change or the confirmation limit of the session has passed. Prints "in
/// force on N of M", and each VM that did not confirm with the reason. The live VMs are taken from the `members` query,
/// or are the configured routers where no router supports it.
/// @param query Query whose response shows the change.
/// @return Done when every live VM confirmed, Failed otherwise.
Task<ExitCode> waitUntilInForce(Session& session, std::string query, ConfirmPredicate isInForce);

} // namespace Pollenwind::Ctl
