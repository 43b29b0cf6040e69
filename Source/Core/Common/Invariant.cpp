#include "Common/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace Pollenwind {

namespace {

    InvariantHandler s_handler = nullptr;

} // namespace

void checkInvariant(bool condition, std::string_view name)
{
    if (condition) [[likely]] {
        return;
    }
    std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(name.size()), name.data());
    if (s_handler) {
        s_handler(name);
    }
    std::abort();
}

void setInvariantHandler(InvariantHandler handler) { s_handler = handler; }

} // namespace Pollenwind
