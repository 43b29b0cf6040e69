#pragma once

namespace Pollenwind::Ctl {

/// Exit codes of pollenwindctl.
enum class ExitCode {
    Done = 0,
    /// Refused or failed, or not confirmed by every VM within the time limit.
    Failed = 1,
    /// Invalid command line or input.
    BadInput = 2,
};

} // namespace Pollenwind::Ctl
