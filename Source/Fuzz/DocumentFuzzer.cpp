#include "Common/Invariant.h"
#include "Config/Queries/CheckDocument.h"
#include "Config/Settings.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace {

using namespace Pollenwind;

void checkFaults(std::string_view text, const std::vector<DocumentFault>& faults)
{
    const auto lines = static_cast<std::size_t>(std::ranges::count(text, '\n')) + 1;
    checkInvariant(!faults.empty(), "a rejected text has at least one fault");
    for (const auto& it : faults) {
        checkInvariant(it.line >= 1 && it.line <= lines, "a fault lies inside the text");
        checkInvariant(it.column >= 1 && it.column <= text.size() + 1, "a fault lies inside the text");
        checkInvariant(it.reason.find('\0') == std::string::npos && it.reason.find('\n') == std::string::npos,
            "a reason is one printable line");
    }
}

} // namespace

/// Entry point that libFuzzer calls with each input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    if (const auto document = checkDocument(text); !document) {
        checkFaults(text, document.error());
    }
    if (const auto settings = parseSettings(text); !settings) {
        checkFaults(text, settings.error());
    }
    return 0;
}
