#pragma once

#include "Config/Queries/ConfigurationQueries.h"
#include "Http/AdminFrontEnd.h"
#include "Keys/Queries/KeyQueries.h"
#include "Limits/Queries/LimitQueries.h"
#include "Metrics/Queries/MetricQueries.h"
#include "Router/StoreSync.h"
#include "Timeline/Queries/TimelineQueries.h"
#include "Upstream/Queries/UpstreamQueries.h"

namespace Pollenwind {

/// Properties of the router that do not change while it runs.
struct RouterIdentity {
    VmId vm;
    ZoneId zone;
    Incarnation incarnation;
};

/// Overview of one router.
class StatusQuery final : public AdminQuery {
public:
    StatusQuery(RouterIdentity identity, const ConfigurationQueries& configuration, const KeyQueries& keys,
        const StoreSync& store, const MetricQueries& metrics);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    RouterIdentity m_identity;
    const ConfigurationQueries& m_configuration;
    const KeyQueries& m_keys;
    const StoreSync& m_store;
    const MetricQueries& m_metrics;
};

/// Services and their upstreams as this router sees them.
class ServicesQuery final : public AdminQuery {
public:
    ServicesQuery(const ConfigurationQueries& configuration, const UpstreamQueries& upstreams);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    const ConfigurationQueries& m_configuration;
    const UpstreamQueries& m_upstreams;
};

/// Keys by the first digits of their digests.
class KeysQuery final : public AdminQuery {
public:
    explicit KeysQuery(const KeyQueries& keys);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    const KeyQueries& m_keys;
};

/// Token state of the organisations on this router.
class LimitsQuery final : public AdminQuery {
public:
    explicit LimitsQuery(const LimitQueries& limits);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    const LimitQueries& m_limits;
};

/// Recent state changes of this router.
class TimelineQuery final : public AdminQuery {
public:
    explicit TimelineQuery(const TimelineQueries& timeline);
    Task<Outcome<std::string>> run(const HttpRequest& request) override;

private:
    const TimelineQueries& m_timeline;
};

} // namespace Pollenwind
