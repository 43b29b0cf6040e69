#pragma once

#include "Common/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Parses a deadline: a UTC time such as "2026-12-04T18:00:00Z", or a duration from now such as "45m" (units s, m, h).
/// @return Unix time, or nothing if the text is malformed, names a nonexistent day, lies in the past or is more than 30
/// days ahead.
std::optional<WallTime> parseDeadline(std::string_view text, WallTime now);

/// Formats a time as UTC in the form that parseDeadline() accepts.
std::string formatTime(WallTime time);

} // namespace Pollenwind::Ctl
