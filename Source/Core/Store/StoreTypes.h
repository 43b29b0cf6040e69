#pragma once

#include "Common/Ids.h"
#include "Transport/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Pollenwind {

/// Lease of the platform's store: its keys are erased when it is not renewed in time. 0 means no lease.
using LeaseId = Id<struct LeaseTag, std::int64_t>;
/// Open watch of this process.
using WatchId = Id<struct WatchTag, std::uint64_t>;

/// One key of the store. Revisions and leases are positions: see StorePosition.
struct StoreEntry {
    std::string key;
    std::string value;
    /// Position of the last change of the key; 0 when the key is absent.
    std::int64_t modRevision = 0;
    LeaseId lease;
};

/// Result of a read.
struct StoreRange {
    std::vector<StoreEntry> entries;
    /// Position of the whole store at the time of the read.
    std::int64_t revision = 0;
};

/// One change reported by a watch.
struct StoreEvent {
    /// True when the key was erased; the entry then holds no value.
    bool isErased = false;
    StoreEntry entry;
};

/// Changes reported by a watch. An empty list is a progress notice: the watch works and nothing changed.
struct StoreEvents {
    std::vector<StoreEvent> events;
    /// Position of the store up to which the changes are complete.
    std::int64_t revision = 0;
};

/// A key and its new value.
struct StoreWrite {
    std::string key;
    std::string value;
};

/// Result of a compare-and-swap.
struct SwapResult {
    bool isSwapped = false;
    /// Position of the write when swapped.
    std::int64_t revision = 0;
    /// The entry found when not swapped; absent when the key does not exist.
    std::optional<StoreEntry> found;
};

/// State of a VM in the platform's list.
enum class ListedVmState {
    Live,
    Leaving,
};

template <> struct EnumTable<ListedVmState> {
    static constexpr std::array rows {
        EnumName { ListedVmState::Live, "live" },
        EnumName { ListedVmState::Leaving, "leaving" },
    };
};

/// One VM of the platform's list.
struct ListedVm {
    VmId vm;
    ZoneId zone;
    /// Endpoint at which its router accepts peer links.
    Endpoint peers;
    /// Endpoint of its router's administration interface.
    Endpoint admin;
    ListedVmState state = ListedVmState::Live;
};

/// The platform's list of VMs. It is eventually consistent: changes appear with a delay.
struct VmList {
    std::int64_t revision = 0;
    std::vector<ListedVm> vms;
};

} // namespace Pollenwind
