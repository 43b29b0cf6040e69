#pragma once

#include "Membership/MemberTypes.h"

#include <optional>
#include <vector>

namespace Pollenwind {

/// Reads the table of VMs. This VM itself is not in it.
class MembershipQueries {
public:
    MembershipQueries() = default;
    MembershipQueries(const MembershipQueries&) = delete;
    MembershipQueries& operator=(const MembershipQueries&) = delete;
    virtual ~MembershipQueries() = default;

    /// @return All VMs in order of id, including gone ones that are still in the table.
    virtual std::vector<Member> members() const = 0;

    virtual std::optional<Member> find(const VmId& vm) const = 0;
};

} // namespace Pollenwind
