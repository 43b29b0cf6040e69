#pragma once

#include "Gateway/RoutingTypes.h"

#include <string>
#include <vector>

namespace Pollenwind {

/// Salt under which an isolated organisation has its cache entries. No other organisation gets it.
std::string isolatedCacheSalt(const OrganisationId& organisation);

/// Salt under which all organisations that are not isolated share cache entries.
///
/// It is a function of the isolated organisations alone: an entry under it was made by an organisation that is not
/// isolated in any configuration with this salt. That holds without a memory of earlier configurations, so VMs that
/// start later use the same salt.
std::string sharedCacheSalt(const std::vector<OrganisationRule>& organisations);

} // namespace Pollenwind
