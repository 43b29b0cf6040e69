#include "Common/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace Pollenwind {

namespace {

    InvariantHandler s_handler = nullptr;

} // namespace

void checkInvariant(bool holds, std::string_view what)
{
    if (holds) [[likely]] {
        return;
    }
    std::fprintf(stderr, "invariant violated: %.*s\n", static_cast<int>(what.size()), what.data());
    if (s_handler) {
        s_handler(what);
    }
    std::abort();
}

void setInvariantHandler(InvariantHandler handler) { s_handler = handler; }

} // namespace Pollenwind
