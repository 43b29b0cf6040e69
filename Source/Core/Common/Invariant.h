#pragma once

#include <string_view>

namespace Pollenwind {

/// Stops the process when a condition that the program itself guarantees does not hold. Bad input and failures of
/// other processes are outcomes, never invariants.
/// @param holds The condition.
/// @param what Short name of the invariant, printed before the process stops.
void checkInvariant(bool holds, std::string_view what);

/// Function called with the invariant's name before the process stops, e.g. to print recent events.
using InvariantHandler = void (*)(std::string_view what);

/// Sets the function called on a broken invariant.
void setInvariantHandler(InvariantHandler handler);

} // namespace Pollenwind
