#pragma once

#include "PlatformSoak/GatewayProcess.h"
#include "PlatformSoak/GatewaySoakTypes.h"

#include <deque>
#include <map>

namespace Pollenwind {

/// A part of prompts that crashes each runner that begins an answer on it, while the fault is active. Counts the
/// requests with the part that reach runners after the crashes should have been noticed, and the sound requests that
/// are served meanwhile.
class CrashingPart {
public:
    using Time = std::chrono::steady_clock::time_point;

    CrashingPart(const std::deque<GatewayProcess>& gateways, GatewaySoakReport& report)
        : m_gateways(gateways)
        , m_report(report)
    {
    }

    /// Starts the fault with a part that no earlier request had.
    /// @return False if it is already active.
    bool begin();
    void end() { m_id.clear(); }
    bool isActive() const { return !m_id.empty(); }
    /// Id of the part as it stands in X-Prompt-Prefix; empty while the fault is not active.
    const std::string& id() const { return m_id; }
    /// Tells whether a prompt has the part.
    bool isIn(std::string_view prefix) const;

    /// Records that a caller sends a request with the part.
    /// @param gateway Index of the gateway to which it is sent.
    void recordSent(const std::string& request, std::size_t gateway) { m_gatewayOf[request] = gateway; }
    /// Records that a request with the part reached a runner.
    void recordArrival(const std::string& request);
    void recordCrash();
    /// Records that the gateways have lost what they knew of the crashes.
    void recordAllKilled() { m_crashes = 0; }
    /// Records the response to a request with the same first part and without the crashing one.
    /// @param sentAt Time at which the caller sent it.
    /// @param isServed An answer has begun.
    void recordSound(Time sentAt, std::size_t gateway, bool isServed);
    /// Checks the share of sound requests that were served.
    void checkSoundRequests();

private:
    struct Tally {
        std::uint64_t sent = 0;
        std::uint64_t served = 0;

        double share() const { return static_cast<double>(served) / static_cast<double>(sent); }
    };

    bool wasDisturbed(std::size_t gateway, Time at) const;

    const std::deque<GatewayProcess>& m_gateways;
    GatewaySoakReport& m_report;
    std::string m_id;
    /// Index of the gateway to which each request with the part was sent.
    std::map<std::string, std::size_t> m_gatewayOf;
    unsigned m_parts = 0;
    unsigned m_crashes = 0;
    unsigned m_lateArrivals = 0;
    /// Time of the fifth crash.
    Time m_knownFrom;
    Tally m_during;
    Tally m_otherwise;
};

} // namespace Pollenwind
