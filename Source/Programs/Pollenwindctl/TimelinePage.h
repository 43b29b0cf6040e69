#pragma once

#include "Pollenwindctl/AdminClient.h"

#include <string>
#include <vector>

namespace Pollenwind::Ctl {

/// Merges the events of several routers in the order of their hybrid-clock stamps. Events with equal stamps are ordered
/// by process, so that the result does not depend on which router answered first.
/// @param answers Answers to the `timeline` query.
Json mergeEvents(const std::vector<Json>& responses);

/// Makes a self-contained HTML page with one lane for each process and one mark with a tooltip for each event.
/// @param events Merged events.
std::string renderTimelinePage(const Json& events);

/// One line for each field, e.g. "revision=7 vm=vm-1".
std::string describeFields(const Json& event);

/// UTC time of an event with microseconds.
std::string eventTime(const Json& event);

} // namespace Pollenwind::Ctl
