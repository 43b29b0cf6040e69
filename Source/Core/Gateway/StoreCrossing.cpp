#include "Gateway/StoreCrossing.h"

#include "Store/StorePosition.h"

namespace Pollenwind {

namespace {

    std::string toText(std::int64_t position)
    {
        return std::to_string(StorePosition::eraOf(position).value()) + "/"
            + std::to_string(StorePosition::revisionOf(position));
    }

    std::string compareConfigurations(std::int64_t copied, std::int64_t known)
    {
        if (copied == 0) {
            return "missing";
        }
        return copied < known ? "older" : copied == known ? "same" : "newer";
    }

} // namespace

EventFields StoreCrossing::fields() const
{
    return { { "from", toText(from) }, { "to", toText(to) }, { "runners", std::to_string(runners) },
        { "missing_runners", std::to_string(missingRunners) }, { "missing_vms", std::to_string(missingVms) },
        { "configuration", compareConfigurations(copiedConfiguration, knownConfiguration) },
        { "version", std::to_string(copiedConfiguration) }, { "known_version", std::to_string(knownConfiguration) } };
}

} // namespace Pollenwind
