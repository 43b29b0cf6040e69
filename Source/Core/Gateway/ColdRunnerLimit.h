#pragma once

#include "Common/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>

namespace Pollenwind {

/// By how much the requests that reach one cold runner may exceed its configured rate.
struct ColdTolerance {
    /// Factor on the rate.
    double overage = 1.5;
    /// Further requests in each second.
    double slack = 5;
};

/// Decides when this VM may send a request to a cold runner, so that the sum over all VMs stays within the bound in
/// each second without messages.
///
/// Load pattern: a runner turns cold while each VM has requests for it, and all VMs would send one at once. Each VM
/// has a place in a period of the length fleet / rate, by its rank in the fleet, and may send one request shortly after
/// its place comes. An unused place lapses, so that VMs which were idle do not send together.
class ColdRunnerLimit {
public:
    /// Time after its place in which a VM may send its request.
    static constexpr std::chrono::milliseconds useTime { 500 };
    /// Time after the start in which the VM does not rely on the number of VMs that it sees: VMs that start together
    /// after a loss of power see each other only when all have registered.
    static constexpr std::chrono::seconds settleTime { 4 };
    /// Number of VMs that is assumed in that time. With it, a fleet of 295 VMs sends 0.6 of the rate.
    static constexpr std::size_t unsettledFleet = 512;
    /// Time for which the largest number of VMs applies. VMs that are cut off from the store lose their records but go
    /// on sending.
    static constexpr std::chrono::minutes fleetRetention { 10 };

    /// @param vmHash Hash of the VM's id, its place while its rank is not known.
    ColdRunnerLimit(const Clock& clock, ColdTolerance tolerance, std::uint64_t vmHash);

    /// Sets the number of VMs and the rank of this one among them, from 0.
    void setFleet(std::size_t size, std::size_t rank);

    /// @param process Hash of the runner's process.
    /// @param rate Requests a second that the cold runner can handle over all VMs, above 0.
    /// @param notBefore Time before which no request may be sent.
    /// @return Time until this VM may send a request; 0 if it may now.
    std::chrono::nanoseconds timeUntilToken(std::uint64_t process, double rate, MonotonicTime notBefore) const;
    /// Records that a request is sent.
    void take(std::uint64_t process, double rate, MonotonicTime notBefore);

private:
    struct Usage {
        MonotonicTime lastAt { 0 };
        /// Time of the next request if several fit into the time of use.
        MonotonicTime nextAt { 0 };
    };

    bool isSettled() const { return m_fleet > 0 && m_clock.now() - m_startedAt >= settleTime; }
    std::size_t fleet() const;
    /// Period of one request of this VM, in seconds.
    double period(double rate) const;
    /// This VM's place in the period, from 0 to 1. It differs by runner, so that no VM is always the first.
    double place(std::uint64_t process) const;

    const Clock& m_clock;
    ColdTolerance m_tolerance;
    std::uint64_t m_vmHash;
    MonotonicTime m_startedAt;
    std::size_t m_fleet = 0;
    std::size_t m_rank = 0;
    std::size_t m_largestFleet = 0;
    MonotonicTime m_largestAt { 0 };
    std::map<std::uint64_t, Usage> m_usage;
};

} // namespace Pollenwind
