#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace Pollenwind {

/// Identifier with a tag type, so that ids of different kinds cannot be mixed up.
template <typename Tag, typename Value> class Id {
public:
    Id() = default;
    explicit Id(Value value)
        : m_value(std::move(value))
    {
    }

    const Value& value() const { return m_value; }
    auto operator<=>(const Id&) const = default;
    bool operator==(const Id&) const = default;

private:
    Value m_value {};
};

/// Organisation (tenant): owner of API keys, with a token rate and burst of its own. Name from the service document.
using OrganisationId = Id<struct OrganisationTag, std::string>;
/// Service of the service document, e.g. a model or a booking service.
using ServiceId = Id<struct ServiceTag, std::string>;
/// Upstream (an engine or a runner of a plain service). Name from the service document.
using UpstreamId = Id<struct UpstreamTag, std::string>;
/// Availability zone.
using ZoneId = Id<struct ZoneTag, std::string>;
/// Region, which consists of availability zones.
using RegionId = Id<struct RegionTag, std::string>;
/// Entry VM, which runs one router. Name from the settings; a restart keeps the name and changes the incarnation.
using VmId = Id<struct VmTag, std::string>;
/// Version of a model's weights, of a plain service, or of a runner's software.
using VersionId = Id<struct VersionTag, std::string>;
/// Request, unique over the fleet.
using RequestId = Id<struct RequestTag, std::string>;
/// Identifies one run of a VM's router or of an engine: a random number drawn at each start, or the start time where
/// the platform provides one.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
/// Revision of the configuration, as counted by the platform's store.
using Revision = Id<struct RevisionTag, std::int64_t>;

} // namespace Pollenwind

template <typename Tag, typename Value> struct std::hash<Pollenwind::Id<Tag, Value>> {
    std::size_t operator()(const Pollenwind::Id<Tag, Value>& id) const noexcept
    {
        return std::hash<Value> {}(id.value());
    }
};
