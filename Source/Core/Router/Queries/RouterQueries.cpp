#include "Router/Queries/RouterQueries.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;

    // Enough digits to distinguish keys without exposing the whole digest.
    constexpr std::size_t shownDigestDigits = 12;

    std::int64_t milliseconds(std::chrono::nanoseconds duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    Json serviceObject(const ServiceSpec& spec, const std::vector<UpstreamStatus>& upstreams)
    {
        Json list = Json::array();
        for (const auto& it : upstreams) {
            if (it.service != spec.id) {
                continue;
            }
            Json versions = Json::array();
            for (const auto& version : it.versions) {
                versions.push_back(version.value());
            }
            list.push_back({ { "upstream", it.upstream.value() }, { "zone", it.zone.value() },
                { "address", it.endpoint.toString() }, { "state", nameOf(it.state) }, { "versions", versions },
                { "breaker", it.breaker }, { "queued_tokens", it.queuedTokens } });
        }
        return { { "service", spec.id.value() }, { "kind", nameOf(spec.kind) }, { "version", spec.version.value() },
            { "upstreams", list } };
    }

} // namespace

StatusQuery::StatusQuery(RouterIdentity identity, const ConfigurationQueries& configuration, const KeyQueries& keys,
    const StoreSync& store, const MetricQueries& metrics)
    : m_identity(std::move(identity))
    , m_configuration(configuration)
    , m_keys(keys)
    , m_store(store)
    , m_metrics(metrics)
{
}

Task<Outcome<std::string>> StatusQuery::run(const HttpRequest&)
{
    Json counters = Json::object();
    for (const auto& row : EnumTable<Counter>::rows) {
        counters[std::string(row.name)] = m_metrics.total(row.value);
    }
    Json distributions = Json::object();
    for (const auto& row : EnumTable<Distribution>::rows) {
        distributions[std::string(row.name)]
            = { { "p50", m_metrics.quantile(row.value, 0.5) }, { "p99", m_metrics.quantile(row.value, 0.99) } };
    }
    const Json status = { { "vm", m_identity.vm.value() }, { "zone", m_identity.zone.value() },
        { "incarnation", m_identity.incarnation.value() }, { "revision", m_configuration.current()->revision.value() },
        { "store", m_store.isStoreUp() ? "up" : "down" },
        { "key_confirmation_age_ms", milliseconds(m_keys.confirmationAge()) }, { "counters", counters },
        { "distributions", distributions } };
    co_return status.dump();
}

ServicesQuery::ServicesQuery(const ConfigurationQueries& configuration, const UpstreamQueries& upstreams)
    : m_configuration(configuration)
    , m_upstreams(upstreams)
{
}

Task<Outcome<std::string>> ServicesQuery::run(const HttpRequest&)
{
    const auto configuration = m_configuration.current();
    const auto upstreams = m_upstreams.status();
    Json services = Json::array();
    for (const auto& [id, spec] : configuration->document.services) {
        services.push_back(serviceObject(spec, upstreams));
    }
    co_return Json { { "revision", configuration->revision.value() }, { "services", services } }.dump();
}

KeysQuery::KeysQuery(const KeyQueries& keys)
    : m_keys(keys)
{
}

Task<Outcome<std::string>> KeysQuery::run(const HttpRequest&)
{
    Json keys = Json::array();
    for (const auto& record : m_keys.records()) {
        keys.push_back({ { "key", toHex(record.digest).substr(0, shownDigestDigits) },
            { "organisation", record.organisation.value() }, { "state", nameOf(record.state) } });
    }
    co_return Json { { "confirmation_age_ms", milliseconds(m_keys.confirmationAge()) }, { "keys", keys } }.dump();
}

LimitsQuery::LimitsQuery(const LimitQueries& limits)
    : m_limits(limits)
{
}

Task<Outcome<std::string>> LimitsQuery::run(const HttpRequest&)
{
    Json organisations = Json::array();
    for (const auto& it : m_limits.status()) {
        organisations.push_back({ { "organisation", it.organisation.value() }, { "level", it.level },
            { "outstanding", it.outstanding }, { "borrowed", it.borrowed }, { "slots", it.slots } });
    }
    const auto shares = m_limits.shares();
    Json slots = Json::array();
    for (const auto& [slot, holder] : shares.record.holders) {
        slots.push_back({ { "zone", slot.zone.value() }, { "group", slot.group }, { "index", slot.index },
            { "vm", holder.vm.value() },
            { "used_here", std::find(shares.used.begin(), shares.used.end(), slot) != shares.used.end() } });
    }
    co_return Json { { "organisations", organisations }, { "slots", slots } }.dump();
}

TimelineQuery::TimelineQuery(const TimelineQueries& timeline)
    : m_timeline(timeline)
{
}

Task<Outcome<std::string>> TimelineQuery::run(const HttpRequest&)
{
    Json events = Json::array();
    for (const auto& event : m_timeline.events()) {
        Json fields = Json::object();
        for (const auto& [name, value] : event.fields) {
            fields[name] = value;
        }
        events.push_back({ { "wall_us", event.time.wallMicroseconds }, { "counter", event.time.counter },
            { "process", event.process }, { "event", nameOf(event.kind) }, { "fields", fields } });
    }
    co_return Json { { "events", events } }.dump();
}

} // namespace Pollenwind
