#include "StandIn/StoreStandIn.h"

#include "Common/Digest.h"
#include "Common/JsonFields.h"
#include "Common/Sleep.h"

#include <charconv>

namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using JsonFields::readNumber;
    using SteadyClock = std::chrono::steady_clock;

    constexpr std::chrono::milliseconds progressInterval { 1000 };
    constexpr std::size_t maxRetainedChanges = 100'000;

    std::string readBytes(const Json& object, const char* name)
    {
        const auto it = object.find(name);
        return it != object.end() && it->is_string() ? base64Decode(it->get<std::string>()).value_or("") : "";
    }

    Json encodeEntry(const StoreEntry& entry)
    {
        return { { "key", base64Encode(entry.key) }, { "value", base64Encode(entry.value) },
            { "mod_revision", std::to_string(entry.modRevision) }, { "lease", std::to_string(entry.lease.value()) } };
    }

    Json header(std::int64_t revision) { return { { "revision", std::to_string(revision) } }; }

} // namespace

StoreStandIn::StoreStandIn(asio::any_io_executor executor)
    : m_executor(executor)
    , m_server(executor, *this, {})
{
    m_vms.revision = 1;
}

void StoreStandIn::setFault(StoreFault fault, std::int64_t value)
{
    m_faults[fault] = value;
    notifyWatches();
}

std::int64_t StoreStandIn::faultValue(StoreFault fault) const
{
    const auto it = m_faults.find(fault);
    return it == m_faults.end() ? 0 : it->second;
}

void StoreStandIn::setVm(const ListedVm& vm)
{
    m_listHistory.push_back({ SteadyClock::now(), m_vms });
    std::erase_if(m_vms.vms, [&](const auto& it) { return it.vm == vm.vm; });
    m_vms.vms.push_back(vm);
    ++m_vms.revision;
}

void StoreStandIn::removeVm(const VmId& vm)
{
    m_listHistory.push_back({ SteadyClock::now(), m_vms });
    std::erase_if(m_vms.vms, [&](const auto& it) { return it.vm == vm; });
    ++m_vms.revision;
}

bool StoreStandIn::isOverRate()
{
    const auto limit = faultValue(StoreFault::RateLimit);
    const auto now = SteadyClock::now();
    while (!m_recentCalls.empty() && now - m_recentCalls.front() > std::chrono::seconds(1)) {
        m_recentCalls.pop_front();
    }
    if (limit > 0 && static_cast<std::int64_t>(m_recentCalls.size()) >= limit) {
        return true;
    }
    m_recentCalls.push_back(now);
    return false;
}

void StoreStandIn::expireLeases()
{
    const auto now = SteadyClock::now();
    std::vector<std::string> keys;
    for (auto it = m_leases.begin(); it != m_leases.end();) {
        if (it->second.expiresAt <= now) {
            keys.insert(keys.end(), it->second.keys.begin(), it->second.keys.end());
            it = m_leases.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto& key : keys) {
        erase(key);
    }
}

void StoreStandIn::put(const std::string& key, const std::string& value, std::int64_t lease)
{
    ++m_revision;
    ++m_writes;
    auto& entry = m_entries[key];
    if (entry.lease.value() != 0 && entry.lease.value() != lease && m_leases.contains(entry.lease.value())) {
        m_leases[entry.lease.value()].keys.erase(key);
    }
    entry = { key, value, m_revision, LeaseId(lease) };
    if (lease != 0) {
        m_leases[lease].keys.insert(key);
    }
    m_changes.push_back({ m_revision, { false, entry } });
    notifyWatches();
}

void StoreStandIn::erase(const std::string& key)
{
    if (m_entries.erase(key) == 0) {
        return;
    }
    ++m_revision;
    ++m_writes;
    m_changes.push_back({ m_revision, { true, { key, "", m_revision, {} } } });
    notifyWatches();
}

void StoreStandIn::notifyWatches()
{
    while (m_changes.size() > maxRetainedChanges) {
        m_changes.pop_front();
    }
    for (auto& [id, timer] : m_watchWakeups) {
        timer->cancel();
    }
}

std::map<std::string, StoreEntry> StoreStandIn::visibleEntries() const
{
    const auto lag = faultValue(StoreFault::StaleReads);
    if (lag == 0) {
        return m_entries;
    }
    std::map<std::string, StoreEntry> entries;
    const auto kept = static_cast<std::int64_t>(m_changes.size()) - lag;
    for (std::int64_t i = 0; i < kept; ++i) {
        const auto& event = m_changes[static_cast<std::size_t>(i)].event;
        if (event.isErased) {
            entries.erase(event.entry.key);
        } else {
            entries[event.entry.key] = event.entry;
        }
    }
    return entries;
}

HttpAnswer StoreStandIn::refusal(int status, std::string_view reason) const
{
    return { .status = status, .body = Json { { "error", reason } }.dump() };
}

Task<> StoreStandIn::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.path.starts_with("/stand-in/")) {
        co_await exchange.answer({ .body = handleFaultRequest(request.body) });
        co_return;
    }
    if (const auto wait = faultValue(StoreFault::Slow)) {
        co_await sleepFor(std::chrono::milliseconds(wait));
    }
    if (faultValue(StoreFault::Down)) {
        exchange.abort();
        co_return;
    }
    ++m_calls;
    if (isOverRate()) {
        co_await exchange.answer(refusal(429, "rate limit"));
        co_return;
    }
    expireLeases();
    if (request.path == "/v3/watch") {
        co_await serveWatch(exchange);
        co_return;
    }
    const auto answer = handleCall(request);
    if (faultValue(StoreFault::LoseAnswers) > 0) {
        --m_faults[StoreFault::LoseAnswers];
        exchange.abort();
        co_return;
    }
    co_await exchange.answer(answer ? *answer : refusal(404, "unknown path"));
}

std::optional<HttpAnswer> StoreStandIn::handleCall(const HttpRequest& request)
{
    const auto& path = request.path;
    const auto& body = request.body;
    if (path == "/v3/kv/range") {
        return HttpAnswer { .body = handleRange(body) };
    }
    if (path == "/v3/kv/txn") {
        return HttpAnswer { .body = handleTransaction(body) };
    }
    if (path == "/v3/lease/grant") {
        return HttpAnswer { .body = handleLeaseGrant(body) };
    }
    if (path == "/v3/lease/keepalive") {
        return HttpAnswer { .body = handleKeepAlive(body) };
    }
    if (path == "/v3/lease/revoke") {
        return HttpAnswer { .body = handleRevoke(body) };
    }
    if (path == "/platform/vms") {
        return HttpAnswer { .body = request.method == "POST" ? handleVmUpdate(body) : handleVmList() };
    }
    return std::nullopt;
}

std::uint64_t StoreStandIn::readCount(const std::string& key) const
{
    const auto it = m_reads.find(key);
    return it == m_reads.end() ? 0 : it->second;
}

std::string StoreStandIn::handleRange(const std::string& body)
{
    const auto json = Json::parse(body, nullptr, false);
    const auto key = readBytes(json, "key");
    const auto end = readBytes(json, "range_end");
    m_reads[key] += end.empty() ? 1 : 0;
    const auto entries = visibleEntries();
    Json kvs = Json::array();
    for (auto it = entries.lower_bound(key); it != entries.end(); ++it) {
        if (end.empty() ? it->first != key : it->first >= end) {
            break;
        }
        kvs.push_back(encodeEntry(it->second));
    }
    const auto lag = faultValue(StoreFault::StaleReads);
    return Json { { "header", header(m_revision - lag) }, { "kvs", kvs } }.dump();
}

std::string StoreStandIn::handleTransaction(const std::string& body)
{
    const auto json = Json::parse(body, nullptr, false);
    bool succeeded = true;
    for (const auto& compare : json.value("compare", Json::array())) {
        const auto it = m_entries.find(readBytes(compare, "key"));
        const auto actual = it == m_entries.end() ? 0 : it->second.modRevision;
        succeeded = succeeded && actual == readNumber(compare, "mod_revision");
    }
    ++m_transactions;
    m_conflicts += succeeded ? 0 : 1;
    Json responses = Json::array();
    for (const auto& operation : json.value(succeeded ? "success" : "failure", Json::array())) {
        if (operation.contains("request_put")) {
            const auto& request = operation["request_put"];
            put(readBytes(request, "key"), readBytes(request, "value"), readNumber(request, "lease"));
            responses.push_back({ { "response_put", Json::object() } });
        } else if (operation.contains("request_delete_range")) {
            erase(readBytes(operation["request_delete_range"], "key"));
            responses.push_back({ { "response_delete_range", Json::object() } });
        } else if (operation.contains("request_range")) {
            Json kvs = Json::array();
            const auto it = m_entries.find(readBytes(operation["request_range"], "key"));
            if (it != m_entries.end()) {
                kvs.push_back(encodeEntry(it->second));
            }
            responses.push_back({ { "response_range", { { "kvs", kvs } } } });
        }
    }
    return Json { { "header", header(m_revision) }, { "succeeded", succeeded }, { "responses", responses } }.dump();
}

std::string StoreStandIn::handleLeaseGrant(const std::string& body)
{
    const std::chrono::seconds timeToLive(readNumber(Json::parse(body, nullptr, false), "TTL"));
    const auto id = m_nextLease++;
    m_leases[id] = { SteadyClock::now() + timeToLive, timeToLive, {} };
    return Json { { "ID", std::to_string(id) }, { "TTL", std::to_string(timeToLive.count()) } }.dump();
}

std::string StoreStandIn::handleKeepAlive(const std::string& body)
{
    const auto it = m_leases.find(readNumber(Json::parse(body, nullptr, false), "ID"));
    std::int64_t left = 0;
    if (it != m_leases.end()) {
        it->second.expiresAt = SteadyClock::now() + it->second.timeToLive;
        left = it->second.timeToLive.count();
    }
    return Json { { "result", { { "TTL", std::to_string(left) } } } }.dump();
}

std::string StoreStandIn::handleRevoke(const std::string& body)
{
    const auto it = m_leases.find(readNumber(Json::parse(body, nullptr, false), "ID"));
    if (it != m_leases.end()) {
        const auto keys = it->second.keys;
        m_leases.erase(it);
        for (const auto& key : keys) {
            erase(key);
        }
    }
    return Json { { "header", header(m_revision) } }.dump();
}

std::string StoreStandIn::handleVmList() const
{
    const auto shownAt = SteadyClock::now() - std::chrono::milliseconds(faultValue(StoreFault::ListLag));
    const VmList* list = &m_vms;
    // The history holds each earlier state with the time at which it was replaced. The list as of shownAt is the first
    // one that was replaced after it.
    for (const auto& state : m_listHistory) {
        if (state.since > shownAt) {
            list = &state.list;
            break;
        }
    }
    Json vms = Json::array();
    for (const auto& vm : list->vms) {
        vms.push_back({ { "vm", vm.vm.value() }, { "zone", vm.zone.value() }, { "peers", vm.peers.toString() },
            { "admin", vm.admin.toString() }, { "state", nameOf(vm.state) } });
    }
    return Json { { "revision", std::to_string(list->revision) }, { "vms", vms } }.dump();
}

std::string StoreStandIn::handleVmUpdate(const std::string& body)
{
    const auto json = Json::parse(body, nullptr, false);
    const auto peers = parseEndpoint(json.value("peers", ""));
    const auto admin = parseEndpoint(json.value("admin", ""));
    const auto state = fromName<ListedVmState>(json.value("state", "live"));
    if (!peers || !admin || !state) {
        return Json { { "error", "malformed VM" } }.dump();
    }
    setVm({ VmId(json.value("vm", "")), ZoneId(json.value("zone", "")), *peers, *admin, *state });
    return Json { { "revision", std::to_string(m_vms.revision) } }.dump();
}

std::string StoreStandIn::handleFaultRequest(const std::string& body)
{
    const auto json = Json::parse(body, nullptr, false);
    const auto fault = json.is_object() ? fromName<StoreFault>(json.value("fault", "")) : std::nullopt;
    if (fault) {
        setFault(*fault, readNumber(json, "value"));
    }
    return Json {
        { "calls", m_calls }, { "writes", m_writes }, { "watches", m_watchWakeups.size() }, { "revision", m_revision }
    }.dump();
}

Task<> StoreStandIn::serveWatch(HttpExchange& exchange)
{
    const auto json = Json::parse(exchange.request().body, nullptr, false);
    const auto create = json.is_object() ? json.value("create_request", Json::object()) : Json::object();
    const auto start = readBytes(create, "key");
    const auto end = readBytes(create, "range_end");
    auto next = readNumber(create, "start_revision");
    if (next == 0) {
        next = m_revision + 1;
    }
    if (!co_await exchange.beginStream({})) {
        co_return;
    }
    asio::steady_timer timer(m_executor);
    const auto id = m_nextWatch++;
    m_watchWakeups.emplace(id, &timer);
    Json head = { { "result", { { "header", header(m_revision) }, { "created", true } } } };
    auto written = co_await exchange.writeChunk(head.dump() + "\n");
    while (written && !faultValue(StoreFault::Down)) {
        Json events = Json::array();
        for (const auto& change : m_changes) {
            const auto& key = change.event.entry.key;
            if (change.revision >= next && key >= start && (end.empty() ? key == start : key < end)) {
                Json kv = encodeEntry(change.event.entry);
                events.push_back(
                    change.event.isErased ? Json { { "type", "DELETE" }, { "kv", kv } } : Json { { "kv", kv } });
            }
        }
        next = m_revision + 1;
        timer.expires_after(progressInterval);
        if (!faultValue(StoreFault::SilentWatches)) {
            const Json line = { { "result", { { "header", header(m_revision) }, { "events", events } } } };
            written = co_await exchange.writeChunk(line.dump() + "\n");
        }
        // A change during the write cancelled no wait, since none was pending; the loop then sends it without waiting.
        if (written && next == m_revision + 1) {
            co_await timer.async_wait(asTuple);
        }
        expireLeases();
    }
    m_watchWakeups.erase(id);
    exchange.abort();
}

} // namespace Pollenwind
