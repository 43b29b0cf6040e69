#pragma once

#include "Common/EnumTable.h"
#include "Timeline/TimelineEvent.h"

#include <string_view>

namespace Pollenwind {

/// Lowest level that is logged.
enum class LogLevel {
    Info,
    Warn,
    Error,
    Off,
};

template <> struct EnumTable<LogLevel> {
    static constexpr std::array rows {
        EnumName { LogLevel::Info, "info" },
        EnumName { LogLevel::Warn, "warn" },
        EnumName { LogLevel::Error, "error" },
        EnumName { LogLevel::Off, "off" },
    };
};

/// Sends log lines to standard output as JSON objects, one per line. When the reader of standard output stops reading,
/// lines are dropped and the process is not blocked.
/// @param level Lowest level that is logged.
void configureLog(LogLevel level);

/// Logs a change of state.
/// @param event Name of the change, written as the field "event".
/// @param fields Details. They must not contain a caller's key.
void logStateChange(std::string_view event, const EventFields& fields);

/// Logs a warning.
void logWarning(std::string_view text);

/// Logs an error.
void logError(std::string_view text);

} // namespace Pollenwind
