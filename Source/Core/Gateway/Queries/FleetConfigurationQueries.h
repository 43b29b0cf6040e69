#pragma once

#include "Common/Task.h"
#include "Store/StoreTypes.h"

#include <cstdint>
#include <vector>

namespace Pollenwind {

/// Tells of the configurations in force at the other VMs of the fleet.
class FleetConfigurationQueries {
public:
    FleetConfigurationQueries() = default;
    FleetConfigurationQueries(const FleetConfigurationQueries&) = delete;
    FleetConfigurationQueries& operator=(const FleetConfigurationQueries&) = delete;
    virtual ~FleetConfigurationQueries() = default;

    /// Asks the other VMs for configurations newer than a version. VMs that answered before are asked again.
    /// @return Their records, in no order; nothing if no VM that answers has a newer one.
    virtual Task<std::vector<StoreEntry>> readNewer(std::int64_t version) = 0;

    /// The same from VMs that have not answered since the last call of readNewer().
    virtual Task<std::vector<StoreEntry>> readNewerFromOthers(std::int64_t version) = 0;
};

} // namespace Pollenwind
