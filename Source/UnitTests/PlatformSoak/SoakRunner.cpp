#include "PlatformSoak/SoakRunner.h"

#include "Common/JsonFields.h"
#include "Common/Sleep.h"

namespace Pollenwind {

namespace {

    using JsonFields::Json;
    using JsonFields::readNumber;
    using JsonFields::readString;

    constexpr std::chrono::milliseconds workTime { 15 };
    constexpr std::chrono::milliseconds slowWorkTime { 700 };
    constexpr std::chrono::milliseconds eventPause { 20 };
    // A runner that repeats refusals refuses one request in this many.
    constexpr unsigned requestsPerRefusal = 4;
    // Longest time, in milliseconds, from a response to the copy of a refusal that follows it.
    constexpr unsigned maxRepeatDelay = 12;
    constexpr std::chrono::milliseconds loadTime { 300 };
    // A crashed runner starts again after one to two times this time.
    constexpr std::chrono::milliseconds minDownTime { 1000 };
    // Difference between the times after two crashes of a runner, so that runners do not return together.
    constexpr std::int64_t downTimeStep = 370;
    constexpr std::chrono::milliseconds minHandoverInterval { 3000 };
    // The platform's limits: drain_ms of the gateways' settings; half a second and two requests after a refusal.
    constexpr std::chrono::milliseconds drainLimit { 2000 };
    constexpr std::chrono::milliseconds refusalDelay { 500 };
    constexpr unsigned maxUnwanted = 2;
    // An order that was in transit when its sender was paused or the link was cut arrives within this time after the
    // fault has ended. Such orders are not checked.
    constexpr std::chrono::milliseconds lateOrderWindow { 300 };

} // namespace

SoakRunner::SoakRunner(asio::any_io_executor executor, std::string id, std::string zone, RequestLedger& ledger,
    CrashingPart& crashingPart, EvacuatedZone& evacuatedZone, GatewaySoakReport& report)
    : m_executor(executor)
    , m_name(std::move(id))
    , m_id(m_name + "-1")
    , m_zone(std::move(zone))
    , m_ledger(ledger)
    , m_crashingPart(crashingPart)
    , m_evacuatedZone(evacuatedZone)
    , m_report(report)
    , m_server(executor, *this, {})
    , m_link(std::move(executor))
{
}

Outcome<void> SoakRunner::listen(const std::string& address)
{
    const auto bound = m_server.listen({ "127.0.0.1", 0 });
    const auto proxied = bound ? m_link.listen(address, *bound) : bound;
    if (!proxied) {
        return std::unexpected(proxied.error());
    }
    m_endpoint = *proxied;
    return {};
}

void SoakRunner::replace()
{
    m_id = m_name + "-" + std::to_string(++m_starts);
    m_orders = 0;
    m_lastOrder.reset();
    m_isLeaving = false;
    m_notices.clear();
    m_link.resetAll();
    m_linkChangedAt = std::chrono::steady_clock::now();
}

void SoakRunner::setLink(LinkState state)
{
    m_link.setState(state);
    m_linkChangedAt = std::chrono::steady_clock::now();
}

std::string SoakRunner::entry() const
{
    return Json {
        { "service", "app" }, { "address", m_endpoint.toString() }, { "zone", m_zone }, { "version", "v1" },
        { "slots", 16 }, { "state", "ready" }, { "cold_left_ms", 0 }, { "seq", 1 }, { "born", m_starts },
        { "models", Json::array({ { { "name", "m" }, { "version", m_weights } } }) }
    }.dump();
}

std::string SoakRunner::responseText(const std::string& request) { return "answer to " + request; }

std::string SoakRunner::eventText(const std::string& request, unsigned number)
{
    return "id: " + std::to_string(number) + "\ndata: " + request + "\n\n";
}

Task<> SoakRunner::handle(HttpExchange& exchange)
{
    const auto& request = exchange.request();
    if (request.header("X-Expect-Instance").value_or(m_id) != m_id) {
        co_await answerMisdirected(exchange);
    } else if (request.path == "/api/report") {
        const Json reportBody { { "busy", m_isLoading }, { "seq", m_orders },
            { "models", Json::array({ { { "name", "m" }, { "version", m_weights } } }) } };
        co_await exchange.answer({ 200, "application/json", reportBody.dump(), {} });
    } else if (request.path == "/api/order") {
        co_await handleOrder(exchange);
    } else {
        co_await serveRequest(exchange);
    }
}

Task<> SoakRunner::answerMisdirected(HttpExchange& exchange)
{
    const std::string requestId(exchange.request().header("X-Request-Id").value_or(""));
    co_await exchange.answer({ 421, "", "", { { "X-Instance-Id", m_id }, { "X-Request-Id", requestId } } });
}

Task<> SoakRunner::handleOrder(HttpExchange& exchange)
{
    const auto json = Json::parse(exchange.request().body, nullptr, false);
    const Order order { readString(json, "holder"), readNumber(json, "fence"), std::chrono::steady_clock::now() };
    const auto resumed = m_report.resumedAt.find(order.holder);
    const bool isLate = order.at - m_linkChangedAt < lateOrderWindow
        || (resumed != m_report.resumedAt.end() && order.at - resumed->second < lateOrderWindow);
    if (m_lastOrder && !isLate) {
        const bool isSameHolder = order.holder == m_lastOrder->holder;
        const bool holds = isSameHolder
            ? order.token >= m_lastOrder->token
            : order.token > m_lastOrder->token && order.at - m_lastOrder->at >= minHandoverInterval;
        m_report.recordCheck(GatewayGuarantee::OneVmGivesOrders, holds,
            m_id + ": " + order.holder + " with token " + std::to_string(order.token) + " after " + m_lastOrder->holder
                + " with " + std::to_string(m_lastOrder->token) + ", "
                + std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(order.at - m_lastOrder->at).count())
                + " ms apart");
    }
    m_lastOrder = order;
    if (m_isLoading || readNumber(json, "expected_rev") != m_orders) {
        co_await exchange.answer({ 409, "", "", {} });
        co_return;
    }
    ++m_orders;
    m_isLoading = true;
    co_await exchange.answer({ 202, "", "", {} });
    co_await sleepFor(loadTime);
    m_weights = readNumber(json, "version");
    m_isLoading = false;
}

bool SoakRunner::isDisturbedSince(const std::string& process, std::chrono::steady_clock::time_point time) const
{
    const auto resumed = m_report.resumedAt.find(process.substr(0, process.find('/')));
    return m_link.state() != LinkState::Healthy || m_linkChangedAt >= time
        || (resumed != m_report.resumedAt.end() && resumed->second >= time);
}

void SoakRunner::checkSender(const std::string& request)
{
    const auto process = m_ledger.processOf(request);
    const auto it = m_notices.find(process);
    if (process.empty() || it == m_notices.end()) {
        return;
    }
    auto& notice = it->second;
    if (notice.leavingAt && !isDisturbedSince(process, *notice.leavingAt)) {
        m_report.recordCheck(GatewayGuarantee::LeavingRunnersAreLeft,
            m_ledger.sentAt(request) <= *notice.leavingAt + drainLimit, m_id + ": " + request + " from " + process);
    }
    const auto now = std::chrono::steady_clock::now();
    const bool isUnwanted = now >= notice.refusedAt + refusalDelay && now < notice.refusedUntil;
    if (isUnwanted && !isDisturbedSince(process, notice.refusedAt)) {
        m_report.recordCheck(GatewayGuarantee::RefusalTimesAreKept, ++notice.requests <= maxUnwanted,
            m_id + ": " + request + " from " + process + " is number " + std::to_string(notice.requests));
    }
}

void SoakRunner::recordNotice(const std::string& request, bool isRefusal)
{
    const auto now = std::chrono::steady_clock::now();
    auto& notice = m_notices[m_ledger.processOf(request)];
    // Each notice counts as a check, since a process that keeps to it sends nothing that could be checked.
    if (m_isLeaving && !notice.leavingAt) {
        notice.leavingAt = now;
        m_report.recordCheck(GatewayGuarantee::LeavingRunnersAreLeft, true, "");
    }
    if (isRefusal && now + m_refusalTime > notice.refusedUntil) {
        notice.requests = now < notice.refusedUntil ? notice.requests : 0;
        notice.refusedAt = now;
        notice.refusedUntil = now + m_refusalTime;
        m_report.recordCheck(GatewayGuarantee::RefusalTimesAreKept, true, "");
    }
}

Task<> SoakRunner::refuse(HttpExchange& exchange, const std::string& requestId)
{
    HttpHeaders headers { { "X-Not-Run", "1" }, { "X-Request-Id", requestId } };
    const bool namesTime = m_fault == RunnerFault::Refuses;
    if (namesTime) {
        headers.emplace_back("Retry-After", std::to_string(std::chrono::duration<double>(m_refusalTime).count()));
    }
    if (m_isLeaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    const auto answered = co_await exchange.answer({ 503, "", "", headers });
    if (answered && m_link.state() == LinkState::Healthy) {
        recordNotice(requestId, namesTime);
    }
}

Task<> SoakRunner::serveRequest(HttpExchange& exchange)
{
    // Copied, since the exchange may end while the request is executed.
    const auto request = exchange.request();
    const std::string requestId(request.header("X-Request-Id").value_or(""));
    const bool isCrashing = m_crashingPart.isIn(request.header("X-Prompt-Prefix").value_or(""));
    if (isCrashing) {
        m_crashingPart.recordArrival(requestId);
    }
    const auto expected = request.header("X-Expect-Version");
    if (expected && *expected != std::to_string(m_weights)) {
        co_await answerMisdirected(exchange);
        co_return;
    }
    ++m_requests;
    checkSender(requestId);
    m_evacuatedZone.recordArrival(m_zone, requestId, m_ledger.processOf(requestId));
    const bool isRefused = m_fault == RunnerFault::RepeatsRefusals && m_requests % requestsPerRefusal == 0;
    if (m_fault == RunnerFault::Refuses || m_isLoading || isRefused) {
        m_refused = requestId;
        co_await refuse(exchange, requestId);
        co_return;
    }
    const auto arrivedAt = std::chrono::steady_clock::now();
    m_ledger.recordRun(request);
    co_await sleepFor(m_fault == RunnerFault::Slow ? slowWorkTime : workTime);
    if (isCrashing) {
        exchange.abort();
        co_return co_await crash();
    }
    if (m_fault == RunnerFault::LosesAnswers) {
        exchange.abort();
        co_return;
    }
    HttpHeaders headers { { "X-Request-Id", requestId }, { "X-Server-Stamp", "stamp-" + m_id } };
    if (m_isLeaving) {
        headers.emplace_back("Server-Leaving", "1");
    }
    if (request.path.starts_with("/stream/") || request.path.starts_with("/resumable/")) {
        co_await serveStream(exchange, headers);
        co_return co_await repeatRefusal(exchange);
    }
    const bool isFailure = m_fault == RunnerFault::Fails;
    const auto answered = co_await exchange.answer(
        { isFailure ? 500 : 200, "text/plain", isFailure ? "failed" : responseText(requestId), headers });
    if (answered && m_link.state() == LinkState::Healthy && m_linkChangedAt < arrivedAt) {
        m_ledger.recordAnswered(requestId);
        recordNotice(requestId, false);
    }
    co_await repeatRefusal(exchange);
}

Task<> SoakRunner::repeatRefusal(HttpExchange& exchange)
{
    if (m_fault != RunnerFault::RepeatsRefusals || m_refused.empty()) {
        co_return;
    }
    HttpHeaders headers { { "X-Not-Run", "1" } };
    if (m_requests % 2 == 0) {
        headers.emplace_back("X-Request-Id", m_refused);
    }
    co_await sleepFor(std::chrono::milliseconds(m_requests % maxRepeatDelay));
    co_await exchange.answer({ 503, "", "", std::move(headers) });
}

Task<> SoakRunner::crash()
{
    if (std::exchange(m_isCrashed, true)) {
        co_return;
    }
    m_crashingPart.recordCrash();
    setLink(LinkState::Refusing);
    m_link.resetAll();
    co_await sleepFor(minDownTime + std::chrono::milliseconds(m_starts * downTimeStep % minDownTime.count()));
    ++m_starts;
    m_orders = 0;
    m_lastOrder.reset();
    m_notices.clear();
    m_isCrashed = false;
    setLink(LinkState::Healthy);
}

Task<> SoakRunner::serveStream(HttpExchange& exchange, const HttpHeaders& headers)
{
    const auto& request = exchange.request();
    const std::string requestId(request.header("X-Request-Id").value_or(""));
    const unsigned first = std::stoul(std::string(request.header("Last-Event-Id").value_or("0"))) + 1;
    if (!co_await exchange.beginStream({ 200, "text/event-stream", "", headers })) {
        co_return;
    }
    if (m_link.state() == LinkState::Healthy) {
        recordNotice(requestId, false);
    }
    for (unsigned number = first; number <= streamEvents; ++number) {
        const auto event = eventText(requestId, number);
        if (m_fault == RunnerFault::BreaksStreams && number == streamEvents / 2) {
            co_await exchange.writeChunk(std::string_view(event).substr(0, event.size() / 2));
            exchange.abort();
            co_return;
        }
        if (!co_await exchange.writeChunk(event)) {
            co_return;
        }
        co_await sleepFor(eventPause);
    }
    co_await exchange.endStream();
}

} // namespace Pollenwind
