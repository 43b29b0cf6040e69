#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Http/AdminFrontEnd.h"
#include "Membership/Queries/MembershipQueries.h"
#include "Peer/Queries/PeerQueries.h"

namespace Pollenwind {

/// VMs of the fleet as this router sees them, itself first.
class MembersQuery final : public AdminQuery {
public:
    MembersQuery(VmIdentity self, const ConfigurationQueries& configuration, const MembershipQueries& members,
        const PeerQueries& links);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    VmIdentity m_self;
    const ConfigurationQueries& m_configuration;
    const MembershipQueries& m_members;
    const PeerQueries& m_links;
};

} // namespace Pollenwind
