#pragma once

#include <string_view>

namespace Pollenwind {

/// Stops the process when a condition that the program itself guarantees does not hold. Bad input and failures of
/// other processes are outcomes, never invariants.
/// @param condition The condition.
/// @param name Short name of the invariant, printed before the process stops.
void checkInvariant(bool condition, std::string_view name);

/// Function called with the invariant's name before the process stops, e.g. to print recent events.
using InvariantHandler = void (*)(std::string_view name);

/// Sets the function called on a broken invariant.
void setInvariantHandler(InvariantHandler handler);

} // namespace Pollenwind
