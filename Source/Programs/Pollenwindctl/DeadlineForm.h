#pragma once

#include "Common/Clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace Pollenwind::Ctl {

/// Parses a deadline: a UTC time "2026-12-04T18:00:00Z", or a time from now "45m" (units s, m, h).
/// @return Unix time, or nothing for another form, a day that does not exist, or more than 30 days from now.
std::optional<WallTime> parseDeadline(std::string_view text, WallTime now);

/// UTC time as parseDeadline reads it.
std::string formatTime(WallTime time);

} // namespace Pollenwind::Ctl
