#include "Gateway/ConfigurationCheck.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace Pollenwind {

namespace {

    using Findings = std::vector<ConfigurationFinding>;

    constexpr unsigned lowestPriority = 9;

    std::string nameRoute(const RouteRule& route) { return "route \"" + route.name + "\""; }
    std::string nameService(const ServiceRule& service) { return "service \"" + service.id.value() + "\""; }
    std::string nameOrganisation(const OrganisationRule& organisation)
    {
        return "organisation \"" + organisation.id.value() + "\"";
    }

    /// Number without trailing zeros.
    std::string toText(double number)
    {
        auto text = std::to_string(number);
        text.erase(text.find_last_not_of('0') + 1);
        return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
    }
    std::string toText(std::chrono::milliseconds time) { return std::to_string(time.count()) + " ms"; }
    std::string toText(std::size_t number) { return std::to_string(number); }
    std::string toText(unsigned number) { return std::to_string(number); }
    std::string toText(bool value) { return value ? "true" : "false"; }
    std::string toText(const std::string& text) { return "\"" + text + "\""; }
    std::string toText(RequestKind kind) { return std::string(nameOf(kind)); }
    std::string toText(const std::optional<unsigned>& number) { return number ? std::to_string(*number) : "none"; }
    std::string toText(const std::vector<RouteShare>& shares)
    {
        std::string text;
        for (const auto& share : shares) {
            text += (text.empty() ? "" : ", ") + share.service.value() + " " + toText(share.weight);
        }
        return text.empty() ? "none" : text;
    }
    std::string toText(const std::optional<EngineProfile>& engine)
    {
        if (!engine) {
            return "none";
        }
        auto text = std::to_string(engine->slots) + " slots, " + std::to_string(engine->cacheTokens) + " tokens";
        for (const auto& model : engine->models) {
            text += ", " + model;
        }
        return text;
    }
    std::string toText(const std::optional<CacheStore>& store)
    {
        return store ? store->endpoint.toString() + " in " + store->zone.value() : "none";
    }

    /// Whether requests can have the host: the router compares it in lower case and without a port.
    bool isRequestHost(const std::string& host)
    {
        return std::ranges::none_of(host, [](char c) { return (c >= 'A' && c <= 'Z') || c == ':' || c == ' '; });
    }

    bool isNumberFromZero(double number) { return std::isfinite(number) && number >= 0; }

    void checkRoute(const RouteRule& route, const RoutingConfiguration& configuration, Findings& findings)
    {
        const auto subject = nameRoute(route);
        const auto add
            = [&](FindingKind kind, std::string text) { findings.push_back({ kind, subject, std::move(text) }); };
        if (route.name.empty()) {
            add(FindingKind::Error, "has no name");
        }
        if (route.host.empty()) {
            add(FindingKind::Error, "has no host");
        } else if (!isRequestHost(route.host)) {
            add(FindingKind::NeverMatches,
                "the host \"" + route.host
                    + "\" has an upper-case letter, a port or a space; hosts of requests have none");
        }
        if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/')) {
            add(FindingKind::Error, "the prefix \"" + route.prefix + "\" does not begin and end with a slash");
        }
        if (route.shares.empty()) {
            add(FindingKind::Error, "has no service");
        }
        double weight = 0;
        for (const auto& share : route.shares) {
            if (!isNumberFromZero(share.weight)) {
                add(FindingKind::Error, "the weight of \"" + share.service.value() + "\" is not a number from 0");
            }
            weight += share.weight;
            const auto service = configuration.services.find(share.service);
            if (service == configuration.services.end()) {
                add(FindingKind::NeverMatches, "the service \"" + share.service.value() + "\" is not defined");
            } else if (service->second.cacheStore) {
                add(FindingKind::Error, "the service \"" + share.service.value() + "\" is a cache store");
            }
        }
        if (!route.shares.empty() && weight == 0) {
            add(FindingKind::Error, "the weights of its services are all 0");
        }
        if (route.timeout.count() <= 0) {
            add(FindingKind::Error, "the timeout is 0");
        }
        if (route.objective.count() <= 0) {
            add(FindingKind::Error, "the objective is 0");
        }
        if (route.priority > lowestPriority) {
            add(FindingKind::Error, "the priority " + toText(route.priority) + " is above " + toText(lowestPriority));
        }
        if (route.objective > route.timeout) {
            add(FindingKind::Contradiction,
                "the objective of " + toText(route.objective) + " is above the timeout of " + toText(route.timeout));
        }
        if (route.kind == RequestKind::Unsafe && route.maxAttempts > 1) {
            add(FindingKind::Contradiction,
                toText(route.maxAttempts) + " attempts of requests that run at most once (unsafe)");
        }
        if (route.isResumable && route.kind != RequestKind::Streaming) {
            add(FindingKind::Contradiction, "resuming is allowed, but its kind is " + toText(route.kind));
        } else if (route.isResumable && route.maxAttempts < 2) {
            add(FindingKind::Contradiction, "resuming is allowed, but only one attempt");
        }
    }

    void checkOrganisation(const OrganisationRule& organisation, Findings& findings)
    {
        const auto subject = nameOrganisation(organisation);
        const auto add
            = [&](FindingKind kind, std::string text) { findings.push_back({ kind, subject, std::move(text) }); };
        if (organisation.id.value().empty()) {
            add(FindingKind::Error, "has no name");
        }
        if (organisation.keyDigests.empty()) {
            add(FindingKind::NeverMatches, "has no keys");
        }
        if (organisation.priority && *organisation.priority > lowestPriority) {
            add(FindingKind::Error,
                "the priority " + toText(*organisation.priority) + " is above " + toText(lowestPriority));
        }
        if (!isNumberFromZero(organisation.rate) || !isNumberFromZero(organisation.burst)
            || !isNumberFromZero(organisation.uncountedTokens)) {
            add(FindingKind::Error, "the rate, the burst or the tokens of a request without a count are negative");
            return;
        }
        if (organisation.rate > 0 && organisation.burst == 0) {
            add(FindingKind::Contradiction, "a rate of " + toText(organisation.rate) + " tokens/s with a burst of 0");
        } else if (organisation.rate > 0 && organisation.uncountedTokens > organisation.burst) {
            add(FindingKind::Contradiction,
                "a request without a count takes " + toText(organisation.uncountedTokens)
                    + " tokens, more than the burst of " + toText(organisation.burst));
        }
    }

    /// Keys of an organisation by number, from 1.
    void checkKeys(const RoutingConfiguration& configuration, Findings& findings)
    {
        std::map<Digest, std::pair<const OrganisationRule*, std::size_t>> owners;
        for (const auto& organisation : configuration.organisations) {
            for (std::size_t n = 0; n < organisation.keyDigests.size(); ++n) {
                const auto [it, isNew] = owners.emplace(organisation.keyDigests[n], std::pair(&organisation, n));
                if (isNew) {
                    continue;
                }
                const auto& [owner, number] = it->second;
                findings.push_back({ FindingKind::NeverMatches, nameOrganisation(organisation),
                    "key " + toText(n + 1) + " is also key " + toText(number + 1) + " of " + nameOrganisation(*owner)
                        + ", which its requests count for" });
            }
        }
    }

    /// Entries with the same name. Only one of them can be meant.
    template <typename Entries, typename Name> void checkNames(const Entries& entries, Name name, Findings& findings)
    {
        std::map<std::string, unsigned> counts;
        for (const auto& entry : entries) {
            if (++counts[name(entry)] == 2) {
                findings.push_back({ FindingKind::Error, name(entry), "is there more than once" });
            }
        }
    }

    /// Routes that refuse every request, since no key is valid.
    void checkRequiredKeys(const RoutingConfiguration& configuration, Findings& findings)
    {
        const auto hasKeys = std::ranges::any_of(
            configuration.organisations, [](const OrganisationRule& it) { return !it.keyDigests.empty(); });
        const auto closed
            = std::ranges::count_if(configuration.routes, [](const RouteRule& it) { return !it.isPublic; });
        if (configuration.requiresKeys && !hasKeys && closed > 0) {
            findings.push_back({ FindingKind::Contradiction, "organisations",
                "no organisation has a key, but " + std::to_string(closed) + " routes need one" });
        }
    }

    void checkHiddenRoutes(const std::vector<RouteRule>& routes, Findings& findings)
    {
        std::map<std::pair<std::string, std::string>, const RouteRule*> first;
        for (const auto& route : routes) {
            const auto [it, isNew] = first.emplace(std::pair(route.host, route.prefix), &route);
            if (!isNew) {
                findings.push_back({ FindingKind::NeverMatches, nameRoute(route),
                    "hidden by " + nameRoute(*it->second) + ", which has the same host and prefix" });
            }
        }
    }

    void checkLimits(const CallerLimits& limits, Findings& findings)
    {
        const std::array<std::pair<const char*, bool>, 4> values { {
            { "the size of headers", limits.headerBytes > 0 },
            { "the size of bodies", limits.bodyBytes > 0 },
            { "the time for a header", limits.headerTimeout.count() > 0 },
            { "the time of an idle connection", limits.idleTimeout.count() > 0 },
        } };
        for (const auto& [name, isPositive] : values) {
            if (!isPositive) {
                findings.push_back({ FindingKind::Error, "limits", std::string(name) + " is 0" });
            }
        }
    }

    /// Collects the changed fields of one entry.
    class Changes {
    public:
        template <typename T> void add(const char* name, const T& before, const T& after)
        {
            const auto from = toText(before);
            const auto to = toText(after);
            if (from != to) {
                m_text += (m_text.empty() ? "" : "; ") + std::string(name) + " " + from + " -> " + to;
            }
        }

        void add(const std::string& text) { m_text += (m_text.empty() ? "" : "; ") + text; }

        const std::string& text() const { return m_text; }

    private:
        std::string m_text;
    };

    std::string changesOf(const RouteRule& before, const RouteRule& after)
    {
        Changes changes;
        changes.add("host", before.host, after.host);
        changes.add("prefix", before.prefix, after.prefix);
        changes.add("kind", before.kind, after.kind);
        changes.add("services", before.shares, after.shares);
        changes.add("timeout", before.timeout, after.timeout);
        changes.add("objective", before.objective, after.objective);
        changes.add("priority", before.priority, after.priority);
        changes.add("attempts", before.maxAttempts, after.maxAttempts);
        changes.add("public", before.isPublic, after.isPublic);
        changes.add("resumable", before.isResumable, after.isResumable);
        return changes.text();
    }

    std::string changesOf(const ServiceRule& before, const ServiceRule& after)
    {
        Changes changes;
        changes.add("health path", before.healthPath, after.healthPath);
        changes.add("connections", before.maxConnections, after.maxConnections);
        changes.add("engine", before.engine, after.engine);
        changes.add("cache store", before.cacheStore, after.cacheStore);
        return changes.text();
    }

    std::string changesOf(const OrganisationRule& before, const OrganisationRule& after)
    {
        Changes changes;
        changes.add("priority", before.priority, after.priority);
        changes.add("rate", before.rate, after.rate);
        changes.add("burst", before.burst, after.burst);
        changes.add("tokens of a request without a count", before.uncountedTokens, after.uncountedTokens);
        changes.add("isolated", before.isIsolated, after.isIsolated);
        const std::set<Digest> old(before.keyDigests.begin(), before.keyDigests.end());
        const std::set<Digest> now(after.keyDigests.begin(), after.keyDigests.end());
        const auto missing = [](const std::set<Digest>& from, const std::set<Digest>& in) {
            return std::ranges::count_if(from, [&in](const Digest& it) { return !in.contains(it); });
        };
        const auto withdrawn = missing(old, now);
        const auto added = missing(now, old);
        if (withdrawn > 0 || added > 0) {
            changes.add("keys: " + std::to_string(added) + " added, " + std::to_string(withdrawn) + " withdrawn");
        }
        return changes.text();
    }

    /// Compares the entries of one kind by their names.
    template <typename Entry, typename Name>
    void compareEntries(
        const std::vector<Entry>& before, const std::vector<Entry>& after, Name name, Findings& findings)
    {
        std::map<std::string, const Entry*> old;
        for (const auto& entry : before) {
            old.emplace(name(entry), &entry);
        }
        std::set<std::string> seen;
        for (const auto& entry : after) {
            const auto subject = name(entry);
            if (!seen.insert(subject).second) {
                continue;
            }
            const auto it = old.find(subject);
            if (it == old.end()) {
                findings.push_back({ FindingKind::Difference, subject, "new" });
            } else if (auto changes = changesOf(*it->second, entry); !changes.empty()) {
                findings.push_back({ FindingKind::Difference, subject, std::move(changes) });
            }
        }
        for (const auto& [subject, entry] : old) {
            if (!seen.contains(subject)) {
                findings.push_back({ FindingKind::Difference, subject, "removed" });
            }
        }
    }

    std::vector<ServiceRule> servicesOf(const RoutingConfiguration& configuration)
    {
        std::vector<ServiceRule> services;
        for (const auto& [id, service] : configuration.services) {
            services.push_back(service);
        }
        return services;
    }

} // namespace

std::vector<ConfigurationFinding> checkConfiguration(const RoutingConfiguration& configuration)
{
    Findings findings;
    if (configuration.version <= 0) {
        findings.push_back({ FindingKind::Error, "version", "is not a whole number above 0" });
    }
    checkNames(configuration.routes, nameRoute, findings);
    checkNames(configuration.organisations, nameOrganisation, findings);
    for (const auto& route : configuration.routes) {
        checkRoute(route, configuration, findings);
    }
    checkHiddenRoutes(configuration.routes, findings);
    for (const auto& [id, service] : configuration.services) {
        if (id.value().empty()) {
            findings.push_back({ FindingKind::Error, nameService(service), "has no name" });
        }
        if (service.engine && service.engine->slots == 0) {
            findings.push_back({ FindingKind::Error, nameService(service), "its engine has no slots" });
        }
    }
    for (const auto& organisation : configuration.organisations) {
        checkOrganisation(organisation, findings);
    }
    checkKeys(configuration, findings);
    checkRequiredKeys(configuration, findings);
    checkLimits(configuration.limits, findings);
    return findings;
}

std::vector<ConfigurationFinding> compareConfigurations(
    const RoutingConfiguration& inForce, const RoutingConfiguration& next)
{
    Findings findings;
    if (next.version <= inForce.version) {
        findings.push_back({ FindingKind::Error, "version",
            std::to_string(next.version) + " does not follow " + std::to_string(inForce.version)
                + ", which is in force; the gateways would ignore it" });
    }
    compareEntries(inForce.routes, next.routes, nameRoute, findings);
    compareEntries(servicesOf(inForce), servicesOf(next), nameService, findings);
    compareEntries(inForce.organisations, next.organisations, nameOrganisation, findings);
    Changes keys;
    keys.add("API keys required", inForce.requiresKeys, next.requiresKeys);
    if (!keys.text().empty()) {
        findings.push_back({ FindingKind::Difference, "organisations", keys.text() });
    }
    Changes limits;
    limits.add("size of headers", inForce.limits.headerBytes, next.limits.headerBytes);
    limits.add("size of bodies", inForce.limits.bodyBytes, next.limits.bodyBytes);
    limits.add("time for a header", inForce.limits.headerTimeout, next.limits.headerTimeout);
    limits.add("time of an idle connection", inForce.limits.idleTimeout, next.limits.idleTimeout);
    if (!limits.text().empty()) {
        findings.push_back({ FindingKind::Difference, "limits", limits.text() });
    }
    return findings;
}

} // namespace Pollenwind
