#pragma once

#include "Common/Clock.h"
#include "Gateway/FleetView.h"
#include "Gateway/Queries/FleetConfigurationQueries.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <set>
#include <string>

namespace Pollenwind {

/// Asks other VMs whether they know a newer configuration than a store that was restored from an older copy.
///
/// In a small fleet all other VMs are asked, at once and each by a task of its own. In a large one it is a few of this
/// zone and a few of the other zones, which differ from VM to VM, so that the calls to one VM do not grow with the
/// fleet. A VM that does not answer is asked again, or in a large fleet another one in its place.
///
/// Enough VMs have answered when at least half of those to be asked in the own zone and half of those in the others
/// have: a zone that was cut off from the store and from the other zones cannot tell which configuration is the newest.
class ConfigurationInquiry final : public FleetConfigurationQueries {
public:
    /// @param ownAddress Address by which the other VMs recognise this one.
    ConfigurationInquiry(const Clock& clock, const FleetView& fleet, std::string ownAddress);

    Task<std::vector<StoreEntry>> readNewer(std::int64_t version) override;
    Task<std::vector<StoreEntry>> readNewerOnce(std::int64_t version) override;
    Task<std::vector<StoreEntry>> readNewerFromOthers(std::int64_t version) override;
    bool hasAnswered() const override;

private:
    struct Round;

    /// Asks VMs that have not answered yet.
    /// @return The finished calls.
    Task<std::shared_ptr<const Round>> ask(std::int64_t version);
    Task<> askVm(Endpoint endpoint, std::int64_t version, std::shared_ptr<Round> round);
    /// Starts anew, without the answers to calls that still run.
    void reset();
    /// Whether enough VMs of one side have answered.
    bool hasAnswered(const std::vector<Endpoint>& vms) const;
    /// Other VMs that are not of this zone.
    std::vector<Endpoint> othersOfOtherZones() const;
    /// VMs to ask next.
    std::vector<Endpoint> selectVms();
    /// Removes VMs that answered, and those beyond the number that is still wanted.
    void reduce(std::vector<Endpoint>& vms) const;

    const Clock& m_clock;
    const FleetView& m_fleet;
    std::string m_ownAddress;
    std::set<Endpoint> m_answered;
    /// Number of inquiries, by which answers to calls of an earlier one are told apart.
    std::uint64_t m_inquiries = 0;
    /// Number of rounds, which varies the VMs that are asked in a large fleet.
    std::uint64_t m_rounds = 0;
};

} // namespace Pollenwind
