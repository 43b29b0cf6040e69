#include "Router/FleetHarness.h"

#include "Common/Digest.h"
#include "Router/StoreKeys.h"
#include "Timeline/Log.h"
#include "Transport/HttpClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <thread>
#include <unistd.h>

namespace Pollenwind {

namespace {

    using Json = nlohmann::json;

    constexpr std::chrono::seconds failureLimit { 30 };

    std::string zoneOf(std::size_t router) { return std::string(1, static_cast<char>('a' + router % 3)); }

    /// Ports depend on the process id, so that concurrent runs of the tests do not conflict.
    std::uint16_t portOf(int index) { return static_cast<std::uint16_t>(10'000 + getpid() % 5000 * 4 + index); }

} // namespace

LinkFault ZoneFaults::faultBetween(const VmId& sender, const VmId& receiver) const
{
    // Names of VMs start with their zone.
    const auto from = sender.value().substr(0, 1);
    const auto to = receiver.value().substr(0, 1);
    return from != to && (isolatedZones.contains(from) || isolatedZones.contains(to)) ? LinkFault::Cut
                                                                                      : LinkFault::None;
}

Fleet::Fleet(int test, std::size_t routers, std::chrono::milliseconds startJitter)
    : m_storeContext(std::make_unique<asio::io_context>(1))
    , m_store(std::make_unique<StoreStandIn>(m_storeContext->get_executor()))
{
    configureLog(LogLevel::Off);
    const auto prefix = "127.50." + std::to_string(100 + test) + ".";
    const Endpoint store { prefix + "1", portOf(0) };
    cr_assert(m_store->listen(store).has_value());
    for (std::size_t i = 0; i < routers; ++i) {
        const auto address = prefix + std::to_string(10 + i);
        Settings settings;
        settings.vm = VmId(zoneOf(i) + std::to_string(i));
        settings.zone = ZoneId(zoneOf(i));
        settings.listenCallers = { address, portOf(1) };
        settings.listenAdmin = { address, portOf(2) };
        settings.listenPeers = { address, portOf(3) };
        settings.store = store;
        settings.storeStartJitter = startJitter;
        settings.seedPeers = { { prefix + "10", portOf(3) }, { prefix + "11", portOf(3) } };
        settings.clusterSecret = "a secret of the cluster";
        settings.adminToken = "a token for operators";
        settings.shutdownListenTime = std::chrono::milliseconds(100);
        m_nodes.push_back({ settings, nullptr, nullptr });
    }
    for (std::size_t i = 0; i < routers; ++i) {
        start(i);
    }
}

Fleet::~Fleet()
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        kill(i);
    }
    m_store.reset();
}

void Fleet::start(std::size_t router)
{
    auto& node = m_nodes[router];
    node.context = std::make_unique<asio::io_context>(1);
    node.router = std::make_unique<Router>(node.context->get_executor(), node.settings, &faults);
    const auto started = node.router->start();
    cr_assert(started.has_value(), "%s", started ? "" : started.error().message.c_str());
}

void Fleet::kill(std::size_t router)
{
    m_nodes[router].router.reset();
    m_nodes[router].context.reset();
}

void Fleet::setPaused(std::size_t router, bool isPaused) { m_nodes[router].isPaused = isPaused; }

void Fleet::setShutdownListenTime(std::size_t router, std::chrono::milliseconds time)
{
    m_nodes[router].settings.shutdownListenTime = time;
}

void Fleet::step()
{
    auto handled = m_clientContext.poll() + m_storeContext->poll();
    m_clientContext.restart();
    for (auto& node : m_nodes) {
        if (node.context && !node.isPaused) {
            handled += node.context->poll();
        }
    }
    if (handled == 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
}

void Fleet::runFor(std::chrono::milliseconds duration)
{
    const auto until = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < until) {
        step();
    }
}

bool Fleet::runUntil(const std::function<bool()>& isDone)
{
    const auto limit = std::chrono::steady_clock::now() + failureLimit;
    bool done = isDone();
    while (!done && std::chrono::steady_clock::now() < limit) {
        runFor(std::chrono::milliseconds(20));
        done = isDone();
    }
    return done;
}

bool Fleet::runUntilAll(const std::function<bool(std::size_t)>& isDone)
{
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i].router && !runUntil([&] { return isDone(i); })) {
            return false;
        }
    }
    return true;
}

std::pair<int, std::string> Fleet::call(
    std::size_t router, const std::string& method, const std::string& path, const std::string& body)
{
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers = { { "Authorization", "Bearer " + m_nodes[router].settings.adminToken } };
    request.body = body;
    auto result = std::make_shared<std::optional<std::pair<int, std::string>>>();
    const auto run = [](Endpoint endpoint, HttpRequest it, auto out) -> Task<> {
        const auto answer = co_await fetch(endpoint, std::move(it), std::chrono::seconds(10));
        *out = answer ? std::pair(answer->status, answer->body) : std::pair(0, std::string());
    };
    asio::co_spawn(m_clientContext, run(m_nodes[router].settings.listenAdmin, request, result), asio::detached);
    while (!*result) {
        step();
    }
    return **result;
}

Json Fleet::query(std::size_t router, const std::string& name)
{
    const auto json = Json::parse(call(router, "GET", "/admin/queries/" + name, "").second, nullptr, false);
    return json.is_object() ? json : Json::object();
}

std::pair<int, Json> Fleet::command(std::size_t router, const std::string& name, const Json& body)
{
    const auto [status, text] = call(router, "POST", "/admin/commands/" + name, body.dump());
    return { status, Json::parse(text, nullptr, false) };
}

std::int64_t Fleet::apply(std::size_t router, const std::string& change)
{
    const auto [status, body] = command(router, "apply",
        { { "change", change }, { "operator", "test" },
            { "document", R"({"zones":["a","b","c"],"organisations":{"o":{"rate":1000,"burst":1000}}})" } });
    cr_assert_eq(status, 200, "%s", body.dump().c_str());
    return body.value("revision", std::int64_t(0));
}

std::pair<int, Json> Fleet::setKey(std::size_t router, const std::string& key, const std::string& state)
{
    return command(router, "key", { { "digest", toHex(sha256(key)) }, { "organisation", "o" }, { "state", state } });
}

std::string Fleet::keyStateOf(std::size_t router, const std::string& key)
{
    const auto digits = toHex(sha256(key)).substr(0, 12);
    const auto keys = query(router, "keys");
    for (const auto& it : keys.value("keys", Json::array())) {
        if (it["key"] == digits) {
            return it["state"];
        }
    }
    return "absent";
}

bool Fleet::isWithdrawnInStore(const std::string& key)
{
    HttpRequest request;
    request.method = "POST";
    request.path = "/v3/kv/range";
    request.body = Json { { "key", base64Encode(StoreKeys::keyRecord(sha256(key))) } }.dump();
    auto result = std::make_shared<std::optional<std::string>>();
    const auto run = [](Endpoint endpoint, HttpRequest it, auto out) -> Task<> {
        const auto answer = co_await fetch(endpoint, std::move(it), std::chrono::seconds(10));
        *out = answer ? answer->body : std::string();
    };
    asio::co_spawn(m_clientContext, run(m_nodes[0].settings.store, request, result), asio::detached);
    while (!*result) {
        step();
    }
    const auto json = Json::parse(**result, nullptr, false);
    if (!json.is_object() || !json.contains("kvs") || json["kvs"].empty()) {
        return false;
    }
    const auto value = base64Decode(json["kvs"][0].value("value", "")).value_or("");
    return value.find("withdrawn") != std::string::npos;
}

} // namespace Pollenwind
