#pragma once

#include <string>
#include <string_view>

namespace Pollenwind {

/// Prefix of the store keys of VM records. The records of this file are written by routers only.
inline constexpr std::string_view vmRecordPrefix = "pollenwind/vms/";
/// Record of the VM that may give orders to runners, under a lease.
inline constexpr std::string_view orderHolderKey = "pollenwind/orders/holder";
/// Record of the last VM that gave orders and of whether orders may still be in progress. It has no lease, so that it
/// remains when that VM stops.
inline constexpr std::string_view orderStateKey = "pollenwind/orders/state";
/// Prefix of the records of the parts of prompts that crash runners, under a lease.
inline constexpr std::string_view quarantineRecordPrefix = "pollenwind/quarantine/";
/// Prefix of the store keys of roll-outs, by service.
inline constexpr std::string_view rolloutRecordPrefix = "pollenwind/rollouts/";
/// Record of the organisations in heavy use, for a restart of all VMs.
inline constexpr std::string_view quotaRecordKey = "pollenwind/quota";

} // namespace Pollenwind
