#pragma once

#include "Common/Error.h"
#include "Gateway/RolloutTypes.h"

#include <string>
#include <string_view>

namespace Pollenwind::RolloutRecords {

/// Key of a service's roll-out in the store.
std::string keyOf(const ServiceId& service);

std::string encode(const RolloutRecord& record);

/// @return The record, or Malformed.
Outcome<RolloutRecord> decode(const ServiceId& service, std::string_view value);

} // namespace Pollenwind::RolloutRecords
