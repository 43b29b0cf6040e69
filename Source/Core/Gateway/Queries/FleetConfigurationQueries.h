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

    /// Asks the other VMs for configurations newer than a version. VMs that answered before are asked again, and so are
    /// for some seconds those that do not know this VM yet.
    /// @return Their records, in no order; nothing if no VM that answers has a newer one.
    virtual Task<std::vector<StoreEntry>> readNewer(std::int64_t version) = 0;

    /// The same without a wait for VMs that do not know this one.
    virtual Task<std::vector<StoreEntry>> readNewerOnce(std::int64_t version) = 0;

    /// The same from VMs that have not answered since the last call of the other two.
    virtual Task<std::vector<StoreEntry>> readNewerFromOthers(std::int64_t version) = 0;

    /// Whether enough VMs have answered since then to tell which configuration is the newest one.
    virtual bool hasAnswered() const = 0;
};

} // namespace Pollenwind
