#pragma once

#include "Gateway/RunnerTypes.h"

#include <map>
#include <span>

namespace Pollenwind {

/// Reads the work of a zone's VMs at the runners.
class ZoneWorkQueries {
public:
    ZoneWorkQueries() = default;
    ZoneWorkQueries(const ZoneWorkQueries&) = delete;
    ZoneWorkQueries& operator=(const ZoneWorkQueries&) = delete;
    virtual ~ZoneWorkQueries() = default;

    /// Sum of this VM's own work and of the work that the given VMs reported, by hash of the runner's id.
    virtual std::map<std::uint64_t, RunnerLoad> sumOfLoads(std::span<const VmId> vms) const = 0;
};

} // namespace Pollenwind
