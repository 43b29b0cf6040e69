#include "Config/Queries/CheckDocument.h"

#include "Config/FieldReader.h"
#include "Config/PositionedJson.h"

#include <algorithm>
#include <functional>
#include <set>

namespace Pollenwind {

namespace {

    // The store accepts values of up to 1 MB. The record contains the document as a JSON string, where quotes and line
    // ends take two bytes, and 32 change ids.
    constexpr std::size_t maxDocumentBytes = 640UL * 1024;

    struct Reference {
        std::string name;
        std::size_t offset = 0;
    };

    // Reads a document and records where names are used, so that references are checked after everything has been read.
    class DocumentChecker {
    public:
        explicit DocumentChecker(std::string_view text)
            : m_faults(text)
        {
        }

        std::expected<ServiceDocument, std::vector<DocumentFault>> check(const JsonNode& root)
        {
            FieldReader fields(root, m_faults, "the service document");
            fields.forEachItem("zones", [&](const JsonNode& node) { readZone(node); });
            if (m_document.zones.empty() && root.kind == JsonKind::Object) {
                m_faults.add(fields.offsetOf("zones"), "the service document needs at least one zone in \"zones\"");
            }
            fields.forEachMember("services", [&](const JsonMember& it) { readService(it); });
            fields.forEachMember("organisations", [&](const JsonMember& it) { readOrganisation(it); });
            fields.finish();
            checkDependencies();
            auto faults = m_faults.take();
            if (!faults.empty()) {
                return std::unexpected(std::move(faults));
            }
            return std::move(m_document);
        }

    private:
        void readZone(const JsonNode& node)
        {
            if (node.kind != JsonKind::String) {
                m_faults.add(node.offset, "a zone must be a string");
                return;
            }
            checkName(m_faults, node.text, node.offset);
            const ZoneId zone(node.text);
            if (std::ranges::find(m_document.zones, zone) != m_document.zones.end()) {
                m_faults.add(node.offset, "duplicate zone \"" + node.text + "\"");
                return;
            }
            m_document.zones.push_back(zone);
        }

        void readService(const JsonMember& member)
        {
            checkName(m_faults, member.name, member.offset);
            FieldReader fields(member.value, m_faults, "service \"" + member.name + "\"");
            ServiceSpec spec;
            spec.id = ServiceId(member.name);
            spec.kind = fields.optionalEnum("kind", ServiceKind::Model);
            spec.version = VersionId(fields.requiredString("version"));
            spec.access = fields.optionalEnum("access", RouteAccess::Keyed);
            spec.blockTokens
                = static_cast<std::uint32_t>(fields.optionalInteger("piece_tokens", spec.blockTokens, { 16, 1 << 20 }));
            spec.maxOutputTokens = static_cast<std::uint32_t>(
                fields.optionalInteger("max_output_tokens", spec.maxOutputTokens, { 1, 1 << 20 }));
            spec.concurrentLoads = static_cast<std::uint32_t>(
                fields.optionalInteger("concurrent_loads", spec.concurrentLoads, { 1, 1000 }));
            fields.forEachItem("depends_on", [&](const JsonNode& node) { readDependency(spec, node); });
            fields.forEachItem("upstreams", [&](const JsonNode& node) { readUpstream(spec, node); });
            fields.forEachItem("routes", [&](const JsonNode& node) { readRoute(spec, node); });
            if (spec.kind == ServiceKind::Plain && spec.routes.empty()) {
                m_faults.add(member.offset, "plain service \"" + member.name + "\" needs at least one route");
            }
            if (spec.kind != ServiceKind::Plain && !spec.routes.empty()) {
                m_faults.add(fields.offsetOf("routes"), "only a plain service has routes");
            }
            fields.finish();
            m_document.services.emplace(spec.id, std::move(spec));
        }

        void readDependency(ServiceSpec& spec, const JsonNode& node)
        {
            if (node.kind != JsonKind::String) {
                m_faults.add(node.offset, "a dependency must be the name of a service");
                return;
            }
            const ServiceId id(node.text);
            if (std::ranges::find(spec.dependsOn, id) != spec.dependsOn.end()) {
                m_faults.add(node.offset, "duplicate dependency \"" + node.text + "\"");
                return;
            }
            spec.dependsOn.push_back(id);
            m_dependencies[spec.id].push_back({ node.text, node.offset });
        }

        void readUpstream(ServiceSpec& spec, const JsonNode& node)
        {
            FieldReader fields(node, m_faults, "an upstream of \"" + spec.id.value() + "\"");
            UpstreamSpec upstream;
            const auto name = fields.requiredString("name");
            if (!name.empty()) {
                checkName(m_faults, name, fields.offsetOf("name"));
                if (!m_upstreams.insert(name).second) {
                    m_faults.add(fields.offsetOf("name"), "duplicate upstream \"" + name + "\"");
                }
            }
            upstream.id = UpstreamId(name);
            const auto address = fields.requiredString("address");
            if (!address.empty()) {
                if (auto endpoint = parseEndpoint(address)) {
                    upstream.endpoint = *endpoint;
                    checkAddress(*endpoint, fields.offsetOf("address"));
                } else {
                    m_faults.add(fields.offsetOf("address"), endpoint.error().message);
                }
            }
            upstream.zone = ZoneId(fields.requiredString("zone"));
            if (!upstream.zone.value().empty()
                && std::ranges::find(m_document.zones, upstream.zone) == m_document.zones.end()) {
                m_faults.add(fields.offsetOf("zone"), unknownName("zone", upstream.zone.value(), zoneNames()));
            }
            upstream.checksFencing = fields.optionalBoolean("checks_fencing", false);
            fields.finish();
            spec.upstreams.push_back(std::move(upstream));
        }

        void checkAddress(const Endpoint& endpoint, std::size_t offset)
        {
            if (!m_endpoints.insert(endpoint).second) {
                m_faults.add(offset, "address " + endpoint.toString() + " is used by another upstream");
            }
        }

        void readRoute(ServiceSpec& spec, const JsonNode& node)
        {
            FieldReader fields(node, m_faults, "a route of \"" + spec.id.value() + "\"");
            RouteSpec route;
            route.method = fields.requiredString("method");
            static const std::set<std::string> s_methods { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE" };
            if (!route.method.empty() && !s_methods.contains(route.method)) {
                m_faults.add(fields.offsetOf("method"), "\"method\" must be GET, HEAD, POST, PUT, PATCH or DELETE");
            }
            route.path = fields.requiredString("path");
            if (!route.path.empty() && !route.path.starts_with('/')) {
                m_faults.add(fields.offsetOf("path"), "\"path\" must start with '/'");
            }
            if (route.path.find_first_of("?# \t\r\n") != std::string::npos) {
                m_faults.add(fields.offsetOf("path"), "\"path\" must not hold '?', '#' or white space");
            }
            if (route.path.starts_with("/v1/") || route.path.starts_with("/health")) {
                m_faults.add(fields.offsetOf("path"), "paths under /v1/ and /health belong to the router");
            }
            route.access = fields.optionalEnum("access", RouteAccess::Keyed);
            route.call = fields.optionalEnum("call", CallKind::NonIdempotent);
            route.costTokens = static_cast<std::uint32_t>(fields.optionalInteger("cost_tokens", 0, { 0, 1 << 20 }));
            if (!route.path.empty() && !m_routes.insert(route.method + " " + route.path).second) {
                m_faults.add(fields.offsetOf("path"), "duplicate route " + route.method + " " + route.path);
            }
            fields.finish();
            spec.routes.push_back(std::move(route));
        }

        void readOrganisation(const JsonMember& member)
        {
            checkName(m_faults, member.name, member.offset);
            FieldReader fields(member.value, m_faults, "organisation \"" + member.name + "\"");
            OrganisationSpec spec;
            spec.id = OrganisationId(member.name);
            spec.rate = fields.requiredNumber("rate", { 0, 1e12 });
            spec.burst = fields.requiredNumber("burst", { 0, 1e12 });
            spec.weight = fields.optionalNumber("weight", 1, { 0.001, 1000 });
            fields.finish();
            m_document.organisations.emplace(spec.id, std::move(spec));
        }

        std::vector<std::string> zoneNames() const
        {
            std::vector<std::string> names;
            for (const auto& zone : m_document.zones) {
                names.push_back(zone.value());
            }
            return names;
        }

        static std::string unknownName(
            const std::string& kind, const std::string& name, const std::vector<std::string>& known)
        {
            const auto nearest = nearestName(name, known);
            return "unknown " + kind + " \"" + name + "\"" + (nearest ? "; did you mean \"" + *nearest + "\"?" : "");
        }

        void checkDependencies()
        {
            std::vector<std::string> names;
            for (const auto& [id, spec] : m_document.services) {
                names.push_back(id.value());
            }
            for (const auto& [id, references] : m_dependencies) {
                for (const auto& reference : references) {
                    if (!m_document.services.contains(ServiceId(reference.name))) {
                        m_faults.add(reference.offset, unknownName("service", reference.name, names));
                    }
                }
            }
            checkCycles();
        }

        // Progress of one service on the path of the depth-first search.
        struct Visit {
            ServiceId id;
            std::size_t nextReference = 0;
        };

        // Uses an explicit stack, since a chain of dependencies can be longer than the call stack allows.
        void checkCycles()
        {
            std::set<ServiceId> done;
            for (const auto& [id, spec] : m_document.services) {
                std::vector<Visit> path;
                std::set<ServiceId> onPath;
                const auto enter = [&](const ServiceId& next) {
                    if (!done.contains(next) && onPath.insert(next).second) {
                        path.push_back({ next });
                    }
                };
                enter(id);
                while (!path.empty()) {
                    auto& visit = path.back();
                    const auto& references = m_dependencies[visit.id];
                    if (visit.nextReference == references.size()) {
                        onPath.erase(visit.id);
                        done.insert(visit.id);
                        path.pop_back();
                        continue;
                    }
                    const auto& reference = references[visit.nextReference++];
                    const ServiceId next(reference.name);
                    if (onPath.contains(next)) {
                        reportCycle(path, reference);
                    } else if (m_document.services.contains(next)) {
                        enter(next);
                    }
                }
            }
        }

        void reportCycle(const std::vector<Visit>& path, const Reference& reference)
        {
            const auto start = std::ranges::find(path, reference.name, [](const Visit& it) { return it.id.value(); });
            std::string cycle;
            for (auto it = start; it != path.end(); ++it) {
                cycle += it->id.value() + " -> ";
            }
            m_faults.add(reference.offset, "dependency cycle: " + cycle + reference.name);
        }

        FaultCollector m_faults;
        ServiceDocument m_document;
        std::map<ServiceId, std::vector<Reference>> m_dependencies;
        std::set<std::string> m_upstreams;
        std::set<Endpoint> m_endpoints;
        std::set<std::string> m_routes;
    };

} // namespace

std::string formatFault(std::string_view file, const DocumentFault& fault)
{
    return std::string(file) + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column) + ": "
        + fault.reason;
}

std::expected<ServiceDocument, std::vector<DocumentFault>> checkDocument(std::string_view text)
{
    if (text.size() > maxDocumentBytes) {
        return std::unexpected(std::vector { faultAt(
            text, maxDocumentBytes, "the document has more than " + std::to_string(maxDocumentBytes) + " bytes") });
    }
    const auto root = parsePositionedJson(text);
    if (!root) {
        return std::unexpected(std::vector { root.error() });
    }
    return DocumentChecker(text).check(*root);
}

} // namespace Pollenwind
