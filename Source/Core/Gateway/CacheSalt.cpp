#include "Gateway/CacheSalt.h"

#include "Common/Digest.h"

#include <set>

namespace Pollenwind {

namespace {

    // Different prefixes, so that no id of an organisation makes the two kinds of salts equal.
    constexpr const char* isolatedPrefix = "isolated/";
    constexpr const char* sharedPrefix = "shared/";

    constexpr std::size_t digestDigits = 32;

} // namespace

std::string isolatedCacheSalt(const OrganisationId& organisation) { return isolatedPrefix + organisation.value(); }

std::string sharedCacheSalt(const std::vector<OrganisationRule>& organisations)
{
    // The order of the organisations in a configuration has no meaning.
    std::set<std::string> isolated;
    for (const auto& it : organisations) {
        if (it.isIsolated) {
            isolated.insert(it.id.value());
        }
    }
    std::string text;
    for (const auto& id : isolated) {
        // With its length, since an id may contain any separator.
        text += std::to_string(id.size()) + ":" + id;
    }
    return sharedPrefix + toHex(sha256(text)).substr(0, digestDigits);
}

} // namespace Pollenwind
