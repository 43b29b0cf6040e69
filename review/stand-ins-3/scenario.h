// Desired states and runs that the scripts of review 3 share.
#pragma once

#include "stand.h"

namespace stand {

inline Json route(const std::string& name, const std::string& prefix, const std::string& service, bool isPublic = false)
{
    return { { "name", name }, { "host", "h.example" }, { "prefix", prefix }, { "service", service },
        { "kind", "unsafe" }, { "timeout_ms", 2500 }, { "goal_ms", 150 }, { "priority", 1 }, { "max_attempts", 1 },
        { "skip_auth", isPublic } };
}

inline Json service(const std::string& name)
{
    return { { "name", name }, { "health_path", "/health" }, { "max_conns", 110 } };
}

inline Json tenant(const std::string& name, const std::vector<std::string>& keys)
{
    return { { "name", name }, { "api_keys", keys }, { "rate_per_s", 0 }, { "burst", 0 } };
}

/// Tenants whose text has about this size, with one key each.
inline Json manyTenants(std::size_t bytes)
{
    Json list = Json::array();
    for (std::size_t n = 0, size = 0; size < bytes; ++n) {
        list.push_back(tenant("org" + std::to_string(n), { "key" + std::to_string(1000000 + n) + "abcdefghij" }));
        size += list.back().dump().size() + 1;
    }
    return list;
}

inline std::string desiredState(int version, Json routes, Json services, Json tenants)
{
    return Json {
        { "version", version }, { "routes", std::move(routes) }, { "services", std::move(services) },
        { "tenants", std::move(tenants) },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 5000 },
                { "idle_timeout_ms", 20000 } } }
    }.dump();
}

/// What runners ran, by request id.
class Runs {
public:
    void add(const std::string& request, const std::string& runner, const std::string& service)
    {
        const std::lock_guard lock(m_mutex);
        m_runs[request].push_back({ runner, service, now() });
    }
    struct Run {
        std::string runner;
        std::string service;
        double at;
    };
    std::vector<Run> of(const std::string& request)
    {
        const std::lock_guard lock(m_mutex);
        return m_runs[request];
    }

private:
    std::mutex m_mutex;
    std::map<std::string, std::vector<Run>> m_runs;
};

/// A consumer's request; its id is new for each attempt.
inline std::string bookingText(
    const std::string& id, const std::string& path, const std::string& key, const std::string& body)
{
    Headers headers { { "Host", "h.example" }, { "X-Request-Id", id }, { "X-Deadline-Ms", "2500" } };
    if (!key.empty()) {
        headers.emplace_back("Authorization", "Token " + key);
    }
    return requestText("POST", path, headers, body);
}

[[noreturn]] inline int finish(Record& record, bool isBroken, const std::string& why)
{
    record.say((isBroken ? "BROKEN: " : "held: ") + why);
    endRun(isBroken ? 1 : 0);
}

[[noreturn]] inline int cannotRun(Record& record, const std::string& why)
{
    record.say("could not run: " + why);
    endRun(2);
}

} // namespace stand
