#pragma once

#include <string_view>

namespace Pollenwind {

/// Aborts the process when a condition that the program itself guarantees is false. Invalid input and failures of other
/// processes are reported as errors and are not invariants.
/// @param condition The condition.
/// @param name Short name of the invariant, printed to standard error before the process aborts.
void checkInvariant(bool condition, std::string_view name);

/// Function called with the invariant's name before the process aborts, e.g. to print recent events.
using InvariantHandler = void (*)(std::string_view name);

/// Sets the function called when an invariant is violated.
void setInvariantHandler(InvariantHandler handler);

} // namespace Pollenwind
