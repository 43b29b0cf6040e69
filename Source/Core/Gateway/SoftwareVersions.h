#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"

#include <map>
#include <set>

namespace Pollenwind {

/// When runners of each software version of a service first appeared.
///
/// A version that appears beside another one is not used at once, because the order of its roll-out may be received
/// after the entries of its runners. Without an order it is a release that replaces the runners one by one.
class SoftwareVersions {
public:
    /// Time in which an order must have been received after the first entry of a version.
    static constexpr std::chrono::seconds orderDelay { 3 };

    void record(const ServiceId& service, const VersionId& version, MonotonicTime now);
    /// Whether the version has appeared beside an older one and an order for it may still follow.
    bool isNew(const ServiceId& service, const VersionId& version, MonotonicTime now) const;
    /// Forgets all versions but the given ones.
    void retain(const std::set<std::pair<ServiceId, VersionId>>& used);

private:
    std::map<ServiceId, std::map<VersionId, MonotonicTime>> m_firstSeen;
};

} // namespace Pollenwind
