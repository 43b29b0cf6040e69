#pragma once

#include "Common/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

namespace Pollenwind {

/// A part of each organisation's rate that only requests of routes that do not yield may use.
///
/// Load pattern that it answers: an organisation sends several times its rate, most of it long prompts of a yielding
/// route. Their tokens use up the rate, so that its urgent requests, which need a tenth of the tokens, are refused as
/// often as the prompts.
///
/// Each VM has its own part of the reserve, because reports of the others come too late in a surge. Tokens taken here
/// are taken from the organisation's rate as well, where they delay the requests of yielding routes.
class QuotaReserve {
public:
    /// Use of an organisation's tokens in the last seconds.
    struct Use {
        /// By this VM.
        double own = 0;
        /// By all VMs, as far as this one knows.
        double fleet = 0;
    };

    /// Part of an organisation's rate that is reserved while it is over its rate. With two kinds of routes, yielding
    /// ones and the others, each can rely on half.
    static constexpr double share = 0.5;
    /// Time whose tokens a reserve holds, over all VMs.
    static constexpr std::chrono::milliseconds depth { 800 };

    /// Takes the tokens of a request from this VM's part of the reserve. A request larger than the rest is admitted
    /// if there is any, and leaves a debt.
    /// @param organisation Hash of its id.
    /// @param rate Tokens per second that the VMs in contact may use together.
    /// @param vms Number of VMs in the fleet.
    /// @return Whether the request is admitted.
    bool take(MonotonicTime now, std::uint64_t organisation, double rate, Use use, std::size_t vms, double tokens);

    /// Removes the parts of all other organisations.
    void keepOnly(const std::set<std::uint64_t>& organisations);

    /// Number of requests that were admitted.
    std::size_t admissions() const { return m_admissions; }

private:
    struct Part {
        double level = 0;
        MonotonicTime refilledAt { 0 };
    };

    /// Part of the reserve that this VM may use.
    static double partOf(Use use, std::size_t vms);

    std::map<std::uint64_t, Part> m_parts;
    std::size_t m_admissions = 0;
};

} // namespace Pollenwind
