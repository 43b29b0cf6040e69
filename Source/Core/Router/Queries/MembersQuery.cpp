#include "Router/Queries/MembersQuery.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;

    Json memberObject(const VmIdentity& identity, MemberState state, Revision revision)
    {
        return { { "vm", identity.vm.value() }, { "zone", identity.zone.value() }, { "state", nameOf(state) },
            { "incarnation", identity.incarnation.value() }, { "peers", identity.peers.toString() },
            { "admin", identity.admin.toString() }, { "revision", revision.value() } };
    }

    Json linkObject(const PeerLinkStatus& link)
    {
        const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(link.sinceLastFrame);
        return { { "state", "up" }, { "opened_here", link.isDialed }, { "version", link.version },
            { "since_last_frame_ms", silence.count() }, { "queued_bytes", link.queuedBytes } };
    }

} // namespace

MembersQuery::MembersQuery(VmIdentity self, const ConfigurationQueries& configuration, const MembershipQueries& members,
    const PeerQueries& links)
    : m_self(std::move(self))
    , m_configuration(configuration)
    , m_members(members)
    , m_links(links)
{
}

Task<Outcome<std::string>> MembersQuery::run(const HttpRequest&)
{
    const auto links = m_links.links();
    Json list = Json::array();
    list.push_back(memberObject(m_self, MemberState::Live, m_configuration.current()->revision));
    list.back()["link"] = { { "state", "self" } };
    list.back()["listed"] = true;
    for (const auto& it : m_members.members()) {
        auto object = memberObject(it.identity, it.state, it.revision);
        const auto link
            = std::ranges::find_if(links, [&](const PeerLinkStatus& other) { return other.peer.vm == it.identity.vm; });
        object["link"] = link != links.end() ? linkObject(*link) : Json { { "state", "down" } };
        object["listed"] = it.isListed;
        list.push_back(std::move(object));
    }
    co_return Json { { "members", list } }.dump();
}

} // namespace Pollenwind
