#pragma once

#include "Pollenwindctl/AdminClient.h"

#include <string>
#include <vector>

namespace Pollenwind::Ctl {

/// Merges the events of several routers in the order of their hybrid-clock timestamps. Events with equal timestamps are
/// ordered by process, so that the result does not depend on the order of the responses.
/// @param responses Responses to the `timeline` query.
Json mergeEvents(const std::vector<Json>& responses);

/// Renders a self-contained HTML page with one lane for each process and one marker with a tooltip for each event.
/// @param events Merged events.
std::string renderTimelinePage(const Json& events);

/// Formats the fields of an event on one line, e.g. "revision=7 vm=vm-1".
std::string describeFields(const Json& event);

/// Formats the time of an event as UTC with microseconds.
std::string eventTime(const Json& event);

} // namespace Pollenwind::Ctl
