#include "PlatformAdapter/PlatformStandIns.h"

#include "Common/Digest.h"
#include "Common/Sleep.h"

namespace Pollenwind {

namespace {

    using JsonFields::readNumber;
    using JsonFields::readString;

    constexpr std::chrono::milliseconds watchPollInterval { 5 };

    HttpAnswer jsonResponse(const JsonFields::Json& json, int status = 200)
    {
        return { status, "application/json", json.dump(), {} };
    }

    std::int64_t number(const HttpRequest& request, std::string_view name)
    {
        return std::stoll(std::string(request.parameter(name).value_or("0")));
    }

} // namespace

KvStoreStandIn::KvStoreStandIn(asio::any_io_executor executor)
    : m_executor(executor)
    , m_server(std::move(executor), *this, {})
{
}

void KvStoreStandIn::write(const std::string& key, std::optional<Item> item)
{
    ++m_content.revision;
    if (item) {
        item->revision = m_content.revision;
        m_content.items[key] = *item;
    } else {
        m_content.items.erase(key);
    }
    m_changes.push_back({ key, item, m_content.revision });
}

void KvStoreStandIn::put(const std::string& key, const std::string& value) { write(key, Item { value }); }
void KvStoreStandIn::erase(const std::string& key) { write(key, std::nullopt); }

std::optional<std::string> KvStoreStandIn::value(const std::string& key) const
{
    const auto it = m_content.items.find(key);
    return it == m_content.items.end() ? std::nullopt : std::optional(it->second.value);
}

void KvStoreStandIn::eraseKeysOfLease(std::int64_t lease)
{
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_content.items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto& key : keys) {
        erase(key);
    }
}

void KvStoreStandIn::endLeases()
{
    for (const auto& [id, lease] : std::exchange(m_content.leases, {})) {
        eraseKeysOfLease(id);
    }
}

void KvStoreStandIn::expireLeases()
{
    const auto now = std::chrono::steady_clock::now();
    for (auto it = m_content.leases.begin(); it != m_content.leases.end();) {
        if (now < it->second.until) {
            ++it;
            continue;
        }
        const auto ended = it->first;
        it = m_content.leases.erase(it);
        eraseKeysOfLease(ended);
    }
}

void KvStoreStandIn::copy() { m_copy = m_content; }

void KvStoreStandIn::restore()
{
    m_content = m_copy;
    std::erase_if(m_changes, [this](const auto& change) { return change.revision > m_content.revision; });
    ++m_era;
}

KvStoreStandIn::Json KvStoreStandIn::toJson(const std::string& key, const Item& item) const
{
    return { { "key", key }, { "value", base64Encode(item.value) }, { "revision", item.revision },
        { "create_rev", item.revision }, { "lease", item.lease } };
}

HttpAnswer KvStoreStandIn::answerRange(const HttpRequest& request)
{
    const auto prefix = std::string(request.parameter("prefix").value_or(""));
    auto items = Json::array();
    bool hasMore = false;
    for (auto it = m_content.items.upper_bound(std::string(request.parameter("after").value_or("")));
        it != m_content.items.end(); ++it) {
        if (!it->first.starts_with(prefix)) {
            continue;
        }
        if (items.size() == pageSize) {
            hasMore = true;
            break;
        }
        items.push_back(toJson(it->first, it->second));
    }
    return jsonResponse({ { "items", items }, { "more_pages", hasMore }, { "current_rev", m_content.revision } });
}

HttpAnswer KvStoreStandIn::answerTransaction(const Json& body)
{
    auto found = Json::array();
    bool holds = true;
    for (const auto& expected : body.at("expected_rev")) {
        const auto key = readString(expected, "key");
        const auto it = m_content.items.find(key);
        const auto revision = it == m_content.items.end() ? 0 : it->second.revision;
        holds = holds && revision == readNumber(expected, "revision");
        found.push_back(
            it == m_content.items.end() ? Json { { "key", key }, { "revision", 0 } } : toJson(key, it->second));
    }
    if (!holds) {
        return jsonResponse({ { "items", found } }, 412);
    }
    for (const auto& it : body.at("writes")) {
        const auto lease = readNumber(it, "lease");
        if (lease != 0 && !m_content.leases.contains(lease)) {
            return jsonResponse(Json::object(), 404);
        }
        write(readString(it, "key"), Item { base64Decode(readString(it, "value")).value_or("?"), 0, lease });
    }
    for (const auto& key : body.at("deletes")) {
        erase(key.get<std::string>());
    }
    return jsonResponse({ { "revision", m_content.revision } });
}

Task<HttpAnswer> KvStoreStandIn::answerWatch(const HttpRequest& request)
{
    const auto after = number(request, "after");
    if (after < m_compactedRevision || after > m_content.revision) {
        co_return jsonResponse(Json::object(), 410);
    }
    const auto era = m_era;
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(number(request, "wait_ms"));
    for (;;) {
        expireLeases();
        auto events = Json::array();
        for (const auto& change : m_changes) {
            if (change.revision > after) {
                events.push_back(change.item
                        ? toJson(change.key, *change.item)
                        : Json { { "key", change.key }, { "revision", change.revision }, { "removed", true } });
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= end || forcedStatus != 0 || m_era != era) {
            co_return jsonResponse({ { "events", events }, { "current_rev", m_content.revision } });
        }
        co_await sleepFor(watchPollInterval);
    }
}

Task<> KvStoreStandIn::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    ++calls[request.method + " " + request.path.substr(0, request.path.find('/', 5))];
    expireLeases();
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    auto answer = forcedStatus != 0 ? HttpAnswer { forcedStatus, "", "", {} } : co_await respond(request);
    if (request.method == "POST" && std::exchange(dropsNextResponse, false)) {
        exchange.abort();
        co_return;
    }
    answer.headers.emplace_back("Store-Era", std::to_string(m_era));
    co_await exchange.answer(answer);
}

Task<HttpAnswer> KvStoreStandIn::respond(const HttpRequest& request)
{
    HttpAnswer answer { 404, "", "", {} };
    if (request.path == "/api/kv-range") {
        answer = answerRange(request);
    } else if (request.path == "/api/kv-watch") {
        answer = co_await answerWatch(request);
    } else if (request.path == "/api/kv-txn") {
        answer = answerTransaction(Json::parse(request.body));
    } else if (request.path == "/api/kv-lease") {
        const std::chrono::milliseconds timeToLive(readNumber(Json::parse(request.body), "ttl_ms"));
        m_content.leases[++m_content.nextLease] = { timeToLive, std::chrono::steady_clock::now() + timeToLive };
        answer = jsonResponse({ { "lease", m_content.nextLease }, { "ttl_ms", timeToLive.count() } });
    } else if (request.path.starts_with("/api/kv-keep/")) {
        if (const auto lease = m_content.leases.find(std::stoll(request.path.substr(13)));
            lease != m_content.leases.end()) {
            lease->second.until = std::chrono::steady_clock::now() + lease->second.timeToLive;
            answer = jsonResponse({ { "ttl_ms", lease->second.timeToLive.count() } });
        }
    } else if (request.path.starts_with("/api/kv-lease-end/")) {
        const auto lease = std::stoll(request.path.substr(18));
        m_content.leases.erase(lease);
        eraseKeysOfLease(lease);
        answer = jsonResponse(Json::object());
    } else if (const auto key = std::string(request.parameter("key").value_or("")); m_content.items.contains(key)) {
        auto json = toJson(key, m_content.items.at(key));
        json["current_rev"] = m_content.revision;
        answer = jsonResponse(json);
    }
    co_return answer;
}

RunnerStandIn::RunnerStandIn(asio::any_io_executor executor, std::string runnerId)
    : id(std::move(runnerId))
    , m_server(std::move(executor), *this, {})
{
}

Outcome<Endpoint> RunnerStandIn::listen()
{
    auto bound = m_server.listen({ "127.0.0.1", 0 });
    endpoint = bound.value_or(Endpoint());
    return bound;
}

std::string RunnerStandIn::entry(const std::string& service) const
{
    return JsonFields::Json {
        { "service", service }, { "address", endpoint.toString() }, { "zone", "a" }, { "version", software },
        { "slots", 8 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", 1 },
        { "models", JsonFields::Json::array({ { { "name", "m" }, { "version", weights } } }) }
    }.dump();
}

Task<> RunnerStandIn::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.path == "/api/report") {
        auto answer = jsonResponse({ { "busy", false }, { "seq", orders }, { "born", 1 },
            { "models", JsonFields::Json::array({ { { "name", "m" }, { "version", weights } } }) } });
        answer.headers = moreHeaders;
        co_await exchange.answer(answer);
    } else if (request.path == "/api/order") {
        const auto order = JsonFields::Json::parse(request.body);
        const bool isExpected = readNumber(order, "expected_rev") == orders;
        if (isExpected) {
            ++orders;
            weights = readNumber(order, "version");
        }
        co_await exchange.answer({ isExpected ? 202 : 409, "", "", {} });
    } else {
        co_await answerRequest(exchange);
    }
}

Task<> RunnerStandIn::answerRequest(HttpExchange& exchange)
{
    const auto request = exchange.request();
    requests.push_back(request);
    const auto requestId = std::string(request.header("X-Request-Id").value_or(""));
    if (request.header("X-Expect-Instance").value_or("") != id) {
        co_await exchange.answer({ 421, "", "", moreHeaders });
        co_return;
    }
    exchange.onDisconnect([this] { ++disconnectedCallers; });
    if (delay.count() > 0) {
        co_await sleepFor(delay);
    }
    HttpHeaders headers { { "X-Request-Id", requestId }, { "X-Server-Stamp", "stamp-of-" + id } };
    headers.insert(headers.end(), moreHeaders.begin(), moreHeaders.end());
    if (refuses) {
        headers.emplace_back("X-Not-Run", "1");
    }
    if (events.empty()) {
        co_await exchange.answer({ status, "text/plain", "answer of " + id, headers });
        co_return;
    }
    co_await exchange.beginStream({ status, "text/event-stream", "", headers });
    std::size_t sent = 0;
    const auto last = request.header("Last-Event-Id");
    for (const auto& event : events) {
        // Event ids count from 1.
        if (last && ++sent <= std::stoul(std::string(*last))) {
            continue;
        }
        if (!last && disconnectsAfterEvents && sent >= *disconnectsAfterEvents) {
            exchange.abort();
            co_return;
        }
        sent += last ? 0 : 1;
        co_await exchange.writeChunk(event);
    }
    co_await exchange.endStream();
}

} // namespace Pollenwind
