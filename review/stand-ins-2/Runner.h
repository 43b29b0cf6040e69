#pragma once

#include "Platform.h"

/// Stand-ins for runners and consumers.
namespace Review {

/// One runner. It registers itself in the store and serves requests and orders.
class Runner {
public:
    using Handler = std::function<bool(Runner&, Stream&, const Message&)>;
    /// Called for each order with its body, before it is judged.
    using OrderObserver = std::function<void(Runner&, const Json&)>;

    static constexpr Milliseconds heartbeat { 1200 };
    static constexpr Milliseconds loadTime { 400 };

    Runner(Store& store, std::string id, std::string service, std::string zone, int slots, const std::string& ip,
        Handler handler, OrderObserver observer = {})
        : m_store(store)
        , m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_handler(std::move(handler))
        , m_observer(std::move(observer))
    {
        m_address.ip = ip;
        begin();
        m_beats = std::thread([this] { sendHeartbeats(); });
    }
    ~Runner()
    {
        m_isOver = true;
        m_beats.join();
        while (m_tasks > 0) {
            std::this_thread::sleep_for(Milliseconds(5));
        }
        m_server.reset();
    }
    Runner(const Runner&) = delete;
    Runner& operator=(const Runner&) = delete;

    const std::string& id() const { return m_id; }
    bool isUp() const { return m_isUp; }
    long weights() const { return m_weights; }
    /// Number of the process, from 1.
    int starts() const { return m_starts; }

    /// Ends the process at once. It is back after a time, under the same id, as a new boot with the same weights.
    /// @return False if it has ended already.
    bool crash(Milliseconds downTime)
    {
        if (!m_isUp.exchange(false)) {
            return false;
        }
        // Not in the thread of a connection, which the server waits for.
        ++m_tasks;
        std::thread([this, downTime] {
            m_server->stop();
            for (const auto until = Clock::now() + downTime; !m_isOver && Clock::now() < until;) {
                std::this_thread::sleep_for(Milliseconds(10));
            }
            if (!m_isOver) {
                m_ended.push_back(std::move(m_server));
                begin();
            }
            --m_tasks;
        }).detach();
        return true;
    }

    /// Head of a streamed answer.
    static bool beginEvents(Stream& stream, const std::string& request)
    {
        return stream.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: " + request
            + "\r\nX-Server-Stamp: stamp-" + request + "\r\nTransfer-Encoding: chunked\r\n\r\n");
    }

    static std::string event(const std::string& request, int number)
    {
        return "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
    }

private:
    void begin()
    {
        ++m_starts;
        m_orders = 0;
        m_isBusy = false;
        m_born = std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        m_server = std::make_unique<Server>([this](Stream& stream, const Message& it) { return handle(stream, it); });
        if (!m_server->listen(m_address)) {
            std::exit(2);
        }
        m_isUp = true;
    }

    Json models() const
    {
        return Json::array(
            { Json { { "name", "m" }, { "version", m_weights.load() }, { "adapters", Json::array() } } });
    }

    void sendHeartbeats()
    {
        std::string last;
        for (Clock::time_point next; !m_isOver; std::this_thread::sleep_for(Milliseconds(10))) {
            if (!m_isUp || Clock::now() < next) {
                continue;
            }
            next = Clock::now() + heartbeat;
            const Json entry { { "service", m_service }, { "address", m_address.text() }, { "zone", m_zone },
                { "version", "v1" }, { "slots", m_slots }, { "state", "ready" }, { "cold_left_ms", 0 },
                { "stage", "unified" }, { "models", models() }, { "seq", m_starts.load() }, { "born", m_born.load() } };
            if (entry.dump() != last) {
                last = entry.dump();
                m_store.put("servers/" + m_id, last);
            }
        }
    }

    bool handle(Stream& stream, const Message& request)
    {
        const auto expected = request.header("X-Expect-Instance");
        const auto version = request.header("X-Expect-Version");
        if ((!expected.empty() && expected != m_id) || (!version.empty() && version != std::to_string(m_weights))) {
            return stream.answer(
                421, "", { { "X-Instance-Id", m_id }, { "X-Request-Id", request.header("X-Request-Id") } });
        }
        if (request.path == "/api/report") {
            return stream.answer(200,
                Json { { "stage", "unified" }, { "models", models() }, { "busy", m_isBusy.load() },
                    { "seq", m_orders.load() }, { "queued", 0 }, { "running", 0 }, { "kv_used", 0 },
                    { "kv_total", 90000 }, { "handles", 0 }, { "born", m_born.load() } }
                    .dump());
        }
        if (request.path == "/api/order") {
            return order(stream, Json::parse(request.body));
        }
        return m_handler(*this, stream, request);
    }

    bool order(Stream& stream, const Json& body)
    {
        if (m_observer) {
            m_observer(*this, body);
        }
        const long version = body.at("version");
        if (m_weights == version) {
            return stream.answer(200, "");
        }
        if ((body.contains("expected_rev") && body.at("expected_rev").get<long>() != m_orders)
            || m_isBusy.exchange(true)) {
            return stream.answer(409, "");
        }
        ++m_orders;
        ++m_tasks;
        std::thread([this, version, start = m_starts.load()] {
            std::this_thread::sleep_for(loadTime);
            if (start == m_starts) {
                m_weights = version;
                m_isBusy = false;
            }
            --m_tasks;
        }).detach();
        return stream.answer(202, "");
    }

    Store& m_store;
    std::string m_id;
    std::string m_service;
    std::string m_zone;
    int m_slots;
    Handler m_handler;
    OrderObserver m_observer;
    Address m_address;
    std::unique_ptr<Server> m_server;
    std::vector<std::unique_ptr<Server>> m_ended;
    std::thread m_beats;
    std::atomic<int> m_tasks { 0 };
    std::atomic<bool> m_isOver { false };
    std::atomic<bool> m_isUp { false };
    std::atomic<bool> m_isBusy { false };
    std::atomic<long> m_weights { 1 };
    std::atomic<long> m_orders { 0 };
    std::atomic<long> m_born { 0 };
    std::atomic<int> m_starts { 0 };
};

/// The operator's desired state.
struct DesiredState {
    std::vector<Json> routes;
    std::vector<Json> services;
    std::vector<Json> tenants;

    static Json route(const std::string& name, const std::string& kind, const std::string& service, int timeoutMs,
        int goalMs, int attempts, bool mayResume)
    {
        return { { "name", name }, { "host", "site.example" }, { "prefix", "/" + name + "/" }, { "kind", kind },
            { "timeout_ms", timeoutMs }, { "goal_ms", goalMs }, { "priority", 1 }, { "service", service },
            { "max_attempts", attempts }, { "skip_auth", false }, { "session_affinity", kind == "streaming" },
            { "allow_resume", mayResume }, { "gap_target_ms", 400 } };
    }

    static Json engineService(const std::string& name, int slots)
    {
        return { { "name", name }, { "health_path", "/health" }, { "max_conns", 370 }, { "protocol", "h1" },
            { "tls", false },
            { "engine",
                { { "slots", slots }, { "kv_capacity", 101147 }, { "kv_token_bytes", 327680 },
                    { "link_mbps", 550000.0 }, { "stride", 4 }, { "max_inflight", 12 },
                    { "models", Json::array({ Json { { "name", "m" } } }) } } } };
    }

    static Json tenant(const std::string& name, const std::string& key)
    {
        return { { "name", name }, { "api_keys", Json::array({ key }) }, { "priority", 1 }, { "unit", "tokens" },
            { "uncached_tokens", 200 }, { "isolated", false }, { "rate_per_s", 5'000'000 }, { "burst", 5'000'000 } };
    }

    std::string text(int version) const
    {
        return Json {
            { "version", version }, { "routes", routes }, { "services", services },
            { "limits",
                { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                    { "idle_timeout_ms", 15000 } } },
            { "tenants", tenants }
        }.dump();
    }
};

/// How a request ended at its consumer.
struct Answer {
    /// 0 without an answer.
    int status = 0;
    bool isComplete = false;
    std::string body;
    Message head;
};

/// Sends one request on a new channel.
inline Answer request(const Address& front, const std::string& path, const std::string& id,
    const std::vector<std::pair<std::string, std::string>>& headers, int deadlineMs, const std::string& body = "{}")
{
    Answer answer;
    const auto until = Clock::now() + Milliseconds(deadlineMs);
    const auto stream = connectTo(front);
    if (!stream) {
        return answer;
    }
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: "
        + std::to_string(deadlineMs) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!stream->write(text + "\r\n" + body) || !stream->readHead(answer.head, false, until)) {
        return answer;
    }
    answer.status = answer.head.status;
    answer.isComplete = stream->readBody(answer.head, until);
    answer.body = answer.head.body;
    return answer;
}

} // namespace Review
