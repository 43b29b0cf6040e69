#pragma once

#include <string>
#include <string_view>

namespace Pollenwind {

/// Keys of the routers' own records in the store.
inline constexpr std::string_view vmRecordPrefix = "pollenwind/vms/";
/// Held under a lease by the VM that gives orders to runners.
inline constexpr std::string_view orderHolderKey = "pollenwind/orders/holder";
/// Last VM that gave orders, and whether it may still be at it; without a lease.
inline constexpr std::string_view orderStateKey = "pollenwind/orders/state";

} // namespace Pollenwind
