#pragma once

#include "Common/Ids.h"

#include <chrono>
#include <optional>

namespace Pollenwind {

/// Time after which a caller whose request no runner can take should try again, spread by the request's id so that
/// callers that are refused together do not return together.
/// @param untilRunnerReturns Time until the first runner accepts requests again, if it is known.
std::chrono::milliseconds returnTime(
    std::optional<std::chrono::nanoseconds> untilRunnerReturns, const RequestId& request);

} // namespace Pollenwind
