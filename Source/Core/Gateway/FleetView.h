#pragma once

#include "Common/Clock.h"
#include "Common/Ids.h"
#include "Timeline/Commands/TimelineCommands.h"
#include "Transport/Endpoint.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Pollenwind {

/// The VMs of the fleet: those with a record in the store, and when each was last heard.
class FleetView {
public:
    FleetView(const Clock& clock, TimelineCommands& timeline, VmId ownVm)
        : m_clock(clock)
        , m_timeline(timeline)
        , m_ownVm(std::move(ownVm))
    {
    }

    /// Text of a VM's record.
    static std::string encodeRecord(const Endpoint& reports);

    /// Takes a VM's record. One that cannot be read is logged and passed over.
    void noteRecord(const VmId& vm, const std::string& value);
    void noteRecordEnded(const VmId& vm);
    /// Ends the records of all other VMs.
    void keepOnly(const std::set<VmId>& vms);
    /// Notes a report.
    /// @return False for a report that is not newer than the last one of the same process.
    bool noteHeard(const VmId& vm, Incarnation boot, std::uint64_t sequence);

    /// Where the other VMs take reports.
    std::vector<Endpoint> others() const;
    /// Part of the fleet that is in contact with this VM, itself included.
    double reachableShare() const;
    /// VMs that were not heard for a while since they were; each is returned once.
    std::vector<VmId> takeSilent();
    /// Number of VMs that are counted as parts of the fleet.
    std::size_t size() const;

private:
    struct Vm {
        Endpoint reports;
        bool hasRecord = false;
        MonotonicTime recordEndedAt { 0 };
        MonotonicTime heardAt { 0 };
        bool isHeard = false;
        Incarnation boot;
        std::uint64_t sequence = 0;
    };

    bool isCounted(const Vm& vm) const;

    const Clock& m_clock;
    TimelineCommands& m_timeline;
    VmId m_ownVm;
    std::map<VmId, Vm> m_vms;
};

} // namespace Pollenwind
